//! Work that several tasks ask for and one does.

use std::cell::RefCell;
use std::hash::Hash;
use std::rc::Rc;

use geranium_core::collections::HashMap;
use tokio::sync::Notify;

/// The work in progress, each with the signal of its end.
#[derive(Debug)]
pub(crate) struct InFlight<K> {
    running: RefCell<HashMap<K, Rc<Notify>>>,
}

impl<K> Default for InFlight<K> {
    fn default() -> Self {
        Self {
            running: RefCell::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> InFlight<K> {
    /// Returns whether the work is in progress.
    pub(crate) fn is_running(&self, key: &K) -> bool {
        self.running.borrow().contains_key(key)
    }

    /// Waits for the end of the work if it is in progress; returns whether it was.
    pub(crate) async fn join(&self, key: &K) -> bool {
        let running = self.running.borrow().get(key).cloned();
        let Some(ended) = running else {
            return false;
        };
        ended.notified().await;
        true
    }

    /// Begins work that is not in progress. It ends when the guard is dropped, also if the
    /// task that does it was cancelled.
    pub(crate) fn begin(&self, key: K) -> InFlightGuard<'_, K> {
        self.running.borrow_mut().insert(key.clone(), Rc::default());
        InFlightGuard {
            in_flight: self,
            key,
        }
    }
}

/// Guard of work in progress.
pub(crate) struct InFlightGuard<'a, K: Clone + Eq + Hash> {
    in_flight: &'a InFlight<K>,
    key: K,
}

impl<K: Clone + Eq + Hash> Drop for InFlightGuard<'_, K> {
    fn drop(&mut self) {
        let ended = self.in_flight.running.borrow_mut().remove(&self.key);
        if let Some(ended) = ended {
            ended.notify_waiters();
        }
    }
}
