//! Attempts in progress at backend servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;
use geranium_fleet::silence::GroupActivity;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent: Timestamp,
    prompt_tokens: f64,
    /// Time of the first data of its stream.
    writing_since: Option<Timestamp>,
}

/// The attempts in progress at one backend server.
#[derive(Debug, Default)]
pub(crate) struct HostAttempts {
    attempts: HashMap<u64, Attempt>,
    last_heard: Timestamp,
    reroute_signal: Rc<Notify>,
}

impl HostAttempts {
    /// Summarizes the activity of the backend server.
    pub(crate) fn activity(&self) -> GroupActivity {
        let waiting = self.attempts.values().filter(|a| a.writing_since.is_none());
        GroupActivity {
            writing: self.attempts.len() - waiting.clone().count(),
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

/// The attempts of this entry host in progress at all backend servers.
#[derive(Debug, Default)]
pub(crate) struct RunningAttempts {
    hosts: RefCell<HashMap<HostId, HostAttempts>>,
    next_id: std::cell::Cell<u64>,
}

impl RunningAttempts {
    /// Registers an attempt, which ends when the returned guard is dropped.
    pub(crate) fn start(
        self: &Rc<Self>,
        host: &HostId,
        prompt_tokens: f64,
        now: Timestamp,
    ) -> AttemptGuard {
        let attempt_id = self.next_id.get();
        self.next_id.set(attempt_id + 1);
        let mut hosts = self.hosts.borrow_mut();
        let work = hosts.entry(host.clone()).or_default();
        let attempt = Attempt {
            sent: now,
            prompt_tokens,
            writing_since: None,
        };
        work.attempts.insert(attempt_id, attempt);
        AttemptGuard {
            running: self.clone(),
            host: host.clone(),
            attempt_id,
            reroute_signal: work.reroute_signal.clone(),
        }
    }

    /// Calls `f` for each backend server with attempts in progress.
    pub(crate) fn for_each(&self, mut f: impl FnMut(&HostId, &HostAttempts)) {
        for (id, work) in self.hosts.borrow().iter() {
            f(id, work);
        }
    }

    /// Summarizes the activity of a backend server, if it has attempts in progress.
    pub(crate) fn activity(&self, host: &HostId) -> Option<GroupActivity> {
        self.hosts.borrow().get(host).map(HostAttempts::activity)
    }

    /// Signals all attempts at a backend server to move to another one.
    pub(crate) fn reroute_from(&self, host: &HostId) {
        if let Some(work) = self.hosts.borrow().get(host) {
            work.reroute_signal.notify_waiters();
        }
    }

    /// Returns the number of attempts in progress.
    pub(crate) fn count(&self) -> usize {
        self.hosts.borrow().values().map(|w| w.attempts.len()).sum()
    }
}

/// Guard of an attempt, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    running: Rc<RunningAttempts>,
    host: HostId,
    attempt_id: u64,
    reroute_signal: Rc<Notify>,
}

impl AttemptGuard {
    /// Returns the signal to move to another backend server.
    pub(crate) fn reroute_signal(&self) -> Rc<Notify> {
        self.reroute_signal.clone()
    }

    pub(crate) const fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns the time since the first data of the stream, if any has arrived.
    pub(crate) fn writing_for(&self, now: Timestamp) -> Option<Duration> {
        let hosts = self.running.hosts.borrow();
        let attempt = hosts.get(&self.host)?.attempts.get(&self.attempt_id)?;
        attempt.writing_since.map(|since| now.since(since))
    }

    /// Records that the backend server sent data; `streaming` means part of a stream's body.
    pub(crate) fn record_activity(&self, streaming: bool, now: Timestamp) {
        let mut hosts = self.running.hosts.borrow_mut();
        let Some(work) = hosts.get_mut(&self.host) else {
            return;
        };
        work.last_heard = now;
        if let Some(attempt) = work.attempts.get_mut(&self.attempt_id) {
            let first = streaming.then_some(now);
            attempt.writing_since = attempt.writing_since.or(first);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut hosts = self.running.hosts.borrow_mut();
        let Some(work) = hosts.get_mut(&self.host) else {
            return;
        };
        work.attempts.remove(&self.attempt_id);
        if work.attempts.is_empty() {
            hosts.remove(&self.host);
        }
    }
}
