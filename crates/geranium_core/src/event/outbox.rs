//! Events that wait for the driver.

use super::EventDraft;

/// Events that wait at once; a driver that never takes them loses later ones.
const MAX_WAITING: usize = 256;

/// Events of one decision maker that wait for the driver to take them.
#[derive(Clone, Debug, Default)]
pub struct EventOutbox {
    waiting: Vec<EventDraft>,
}

impl EventOutbox {
    /// Adds an event, unless too many wait.
    pub fn push(&mut self, event: EventDraft) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push(event);
        }
    }

    /// Takes all events, the oldest first.
    pub fn take(&mut self) -> Vec<EventDraft> {
        std::mem::take(&mut self.waiting)
    }
}
