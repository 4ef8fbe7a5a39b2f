//! Events before the driver stamps them.

use super::{EventKind, EventSubject};

/// An event as a decision returns it, without time and process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventDraft {
    /// What happened.
    pub kind: EventKind,
    /// What it concerns.
    pub subject: EventSubject,
    /// Why it happened, for people.
    pub reason: String,
    /// Event, record or order that it follows from.
    pub cause: Option<String>,
}

impl EventDraft {
    /// Makes an event without a cause.
    pub fn new(kind: EventKind, subject: EventSubject, reason: impl Into<String>) -> Self {
        Self {
            kind,
            subject,
            reason: reason.into(),
            cause: None,
        }
    }

    /// Names the event, record or order that this event follows from.
    #[must_use]
    pub fn caused_by(mut self, cause: impl Into<String>) -> Self {
        self.cause = Some(cause.into());
        self
    }
}
