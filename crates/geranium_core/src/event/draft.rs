//! Events before the driver adds their time and origin.

use super::{EventKind, EventSubject};

/// An event as returned by a decision, without its time and process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventDraft {
    /// Kind of the event.
    pub kind: EventKind,
    /// Identifiers that the event concerns.
    pub subject: EventSubject,
    /// Human-readable reason.
    pub reason: String,
    /// Event, record or order that caused this event.
    pub cause: Option<String>,
}

impl EventDraft {
    /// Creates an event without a cause.
    pub fn new(kind: EventKind, subject: EventSubject, reason: impl Into<String>) -> Self {
        Self {
            kind,
            subject,
            reason: reason.into(),
            cause: None,
        }
    }

    /// Sets the event, record or order that caused this event.
    #[must_use]
    pub fn caused_by(mut self, cause: impl Into<String>) -> Self {
        self.cause = Some(cause.into());
        self
    }
}
