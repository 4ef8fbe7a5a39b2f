//! Events that wait for the driver.

use super::EventDraft;

/// Events that wait at once; a driver that never takes them loses later ones.
const MAX_QUEUED: usize = 256;

/// Events of one decision maker that wait for the driver to take them.
#[derive(Clone, Debug, Default)]
pub struct EventOutbox {
    queued: Vec<EventDraft>,
}

impl EventOutbox {
    /// Adds an event, unless too many wait.
    pub fn push(&mut self, event: EventDraft) {
        if self.queued.len() < MAX_QUEUED {
            self.queued.push(event);
        }
    }

    /// Takes all events, the oldest first.
    pub fn take(&mut self) -> Vec<EventDraft> {
        std::mem::take(&mut self.queued)
    }
}
