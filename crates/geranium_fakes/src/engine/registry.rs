//! The completions that wait or run.

use std::collections::BTreeMap;

use tokio_util::sync::CancellationToken;

/// One completion, told from another attempt at the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SessionId(u64);

/// The completions that wait or run.
#[derive(Debug, Default)]
pub(super) struct SessionRegistry {
    last: u64,
    sessions: BTreeMap<SessionId, (String, CancellationToken)>,
}

impl SessionRegistry {
    /// Adds a completion and returns the signal that cancels it.
    pub fn add(&mut self, request: &str) -> (SessionId, CancellationToken) {
        self.last += 1;
        let id = SessionId(self.last);
        let cancel = CancellationToken::new();
        self.sessions
            .insert(id, (request.to_owned(), cancel.clone()));
        (id, cancel)
    }

    /// Removes a completion.
    pub fn remove(&mut self, id: SessionId) {
        self.sessions.remove(&id);
    }

    /// Cancels every attempt at a request; returns whether there was one.
    pub fn cancel(&self, request: &str) -> bool {
        let mut found = false;
        for (name, cancel) in self.sessions.values() {
            if name == request {
                cancel.cancel();
                found = true;
            }
        }
        found
    }

    /// Returns the number of completions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }
}
