//! Requests that run at backend servers now.

use std::cell::RefCell;
use std::rc::Rc;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;
use geranium_fleet::silence::GroupActivity;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent: Timestamp,
    prompt_tokens: f64,
    writing: bool,
}

/// The attempts at one backend server.
#[derive(Debug, Default)]
pub(crate) struct HostWork {
    attempts: HashMap<u64, Attempt>,
    last_heard: Timestamp,
    moved: Rc<Notify>,
}

impl HostWork {
    /// Sums up what is known of the backend server's activity.
    pub(crate) fn activity(&self) -> GroupActivity {
        let waiting = self.attempts.values().filter(|a| !a.writing);
        GroupActivity {
            writing: self.attempts.values().filter(|a| a.writing).count(),
            waiting: waiting.clone().count(),
            waiting_tokens: waiting.map(|a| a.prompt_tokens).sum(),
            last_heard: self.last_heard,
            oldest_sent: self
                .attempts
                .values()
                .map(|a| a.sent)
                .min()
                .unwrap_or_default(),
        }
    }
}

/// The attempts of this entry host at all backend servers.
#[derive(Debug, Default)]
pub(crate) struct Running {
    hosts: RefCell<HashMap<HostId, HostWork>>,
    next: std::cell::Cell<u64>,
}

impl Running {
    /// Notes an attempt; it ends when the returned guard is dropped.
    pub(crate) fn start(
        self: &Rc<Self>,
        host: &HostId,
        prompt_tokens: f64,
        now: Timestamp,
    ) -> AttemptGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        let mut hosts = self.hosts.borrow_mut();
        let work = hosts.entry(host.clone()).or_default();
        let attempt = Attempt {
            sent: now,
            prompt_tokens,
            writing: false,
        };
        work.attempts.insert(number, attempt);
        AttemptGuard {
            running: self.clone(),
            host: host.clone(),
            number,
            moved: work.moved.clone(),
        }
    }

    /// Calls `f` for each backend server with work.
    pub(crate) fn for_each(&self, mut f: impl FnMut(&HostId, &HostWork)) {
        for (id, work) in self.hosts.borrow().iter() {
            f(id, work);
        }
    }

    /// Sums up the activity of a backend server, if it has work.
    pub(crate) fn activity(&self, host: &HostId) -> Option<GroupActivity> {
        self.hosts.borrow().get(host).map(HostWork::activity)
    }

    /// Tells all attempts at a backend server to move to another one.
    pub(crate) fn move_away(&self, host: &HostId) {
        if let Some(work) = self.hosts.borrow().get(host) {
            work.moved.notify_waiters();
        }
    }

    /// Returns the number of attempts.
    pub(crate) fn count(&self) -> usize {
        self.hosts.borrow().values().map(|w| w.attempts.len()).sum()
    }
}

/// An attempt that runs until this is dropped.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    running: Rc<Running>,
    host: HostId,
    number: u64,
    moved: Rc<Notify>,
}

impl AttemptGuard {
    /// Returns the signal to move to another backend server.
    pub(crate) fn moved(&self) -> Rc<Notify> {
        self.moved.clone()
    }

    /// Returns the backend server.
    pub(crate) const fn host(&self) -> &HostId {
        &self.host
    }

    /// Notes that the backend server sent something.
    pub(crate) fn heard(&self, writing: bool, now: Timestamp) {
        let mut hosts = self.running.hosts.borrow_mut();
        let Some(work) = hosts.get_mut(&self.host) else {
            return;
        };
        work.last_heard = now;
        if let Some(attempt) = work.attempts.get_mut(&self.number) {
            attempt.writing |= writing;
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut hosts = self.running.hosts.borrow_mut();
        let Some(work) = hosts.get_mut(&self.host) else {
            return;
        };
        work.attempts.remove(&self.number);
        if work.attempts.is_empty() {
            hosts.remove(&self.host);
        }
    }
}
