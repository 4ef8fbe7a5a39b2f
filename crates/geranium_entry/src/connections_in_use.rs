//! Connections that the exit of the process would cut.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the connections that have carried a request and are still open. A connection is
/// open until its last answer is written, however slowly its peer reads.
#[derive(Debug, Default)]
pub(crate) struct ConnectionsInUse {
    count: Cell<usize>,
}

impl ConnectionsInUse {
    /// Counts a connection until the returned guard is dropped.
    pub(crate) fn start(self: &Rc<Self>) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard {
            connections: self.clone(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.count.get()
    }
}

/// Guard of a connection, which is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard {
    connections: Rc<ConnectionsInUse>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let count = &self.connections.count;
        count.set(count.get() - 1);
    }
}
