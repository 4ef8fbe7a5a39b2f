//! Events with their time and process.

use std::fmt;

use geranium_core::event::{EventKind, EventSubject};
use geranium_core::id::{FailureDomainId, HostId, Incarnation};
use geranium_core::time::{HybridTime, Timestamp};
use serde::{Deserialize, Serialize};

/// Identifier of an event, unique over all processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId {
    /// Host of the process.
    pub host: HostId,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Position among the events of the process, from 1.
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
    /// Identifier.
    pub id: EventId,
    /// Hybrid logical time, which keeps causal order over processes.
    pub time: HybridTime,
    /// Wall time of the process.
    pub wall: Timestamp,
    /// Failure domain of the process.
    pub failure_domain: FailureDomainId,
    /// What happened.
    pub kind: EventKind,
    /// What it concerns.
    pub subject: EventSubject,
    /// Why it happened, for people.
    pub reason: String,
    /// Event, record or order that it follows from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<String>,
}
