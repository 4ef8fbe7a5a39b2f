//! The queue of events for the driver.

use super::EventDraft;

/// Maximum number of queued events; further ones are dropped, so that a driver that
/// never takes them doesn't exhaust memory.
const MAX_QUEUED: usize = 256;

/// A bounded queue of events for the driver.
#[derive(Clone, Debug, Default)]
pub struct EventOutbox {
    queued: Vec<EventDraft>,
}

impl EventOutbox {
    /// Adds an event; drops it if the queue is full.
    pub fn push(&mut self, event: EventDraft) {
        if self.queued.len() < MAX_QUEUED {
            self.queued.push(event);
        }
    }

    /// Removes and returns all events, oldest first.
    pub fn take(&mut self) -> Vec<EventDraft> {
        std::mem::take(&mut self.queued)
    }
}
