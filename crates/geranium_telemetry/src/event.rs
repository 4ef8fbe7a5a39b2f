//! Recorded events and their identifiers.

use std::fmt;

use geranium_core::event::{EventKind, EventSubject};
use geranium_core::id::{FailureDomainId, HostId, Incarnation};
use geranium_core::time::{HybridTime, Timestamp};
use serde::{Deserialize, Serialize};

/// Identifier of an event, unique across all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId {
    /// Host of the process that recorded the event.
    pub host: HostId,
    /// Incarnation number of the process.
    pub incarnation: Incarnation,
    /// Sequence number within the process, starting at 1.
    pub sequence: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.host, self.incarnation, self.sequence)
    }
}

/// A decision that changed what is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Unique identifier.
    pub id: EventId,
    /// Hybrid logical time, which preserves causal order across processes.
    pub time: HybridTime,
    /// Wall-clock time of the recording process.
    pub wall: Timestamp,
    /// Failure domain of the recording process.
    pub failure_domain: FailureDomainId,
    /// What happened.
    pub kind: EventKind,
    /// Request, group, host or other object that the event is about.
    pub subject: EventSubject,
    /// Human-readable reason.
    pub reason: String,
    /// Event, record or order that caused the event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}
