//! The right of an admitted request to its slot.

use std::sync::Arc;

use geranium_core::id::ModelId;
use geranium_core::limit::Ticket;

use crate::node::Node;

/// Holds a slot of admission and gives it back when dropped.
pub struct AdmissionGuard {
    node: Arc<Node>,
    model: ModelId,
    ticket: Ticket,
}

impl AdmissionGuard {
    /// Takes charge of a ticket, admitted or queued.
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
