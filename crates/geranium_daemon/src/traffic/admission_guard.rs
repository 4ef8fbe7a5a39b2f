//! Guard for the admission slot of a request.

use std::sync::Arc;

use geranium_core::id::ModelId;
use geranium_core::limit::Ticket;

use crate::node::Node;

/// Holds an admission slot or a place in the queue, and releases it on drop.
pub struct AdmissionGuard {
    node: Arc<Node>,
    model: ModelId,
    ticket: Ticket,
}

impl AdmissionGuard {
    /// Takes ownership of a ticket, admitted or queued.
    #[must_use]
    pub fn new(node: Arc<Node>, model: ModelId, ticket: Ticket) -> Self {
        node.metrics.in_progress.inc();
        Self {
            node,
            model,
            ticket,
        }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.node.metrics.in_progress.dec();
        self.node
            .traffic
            .release_admission(self.node.clock.now(), &self.model, self.ticket);
    }
}
