//! Comparison of a member's report with the table.

use std::fmt;

use crate::engine::{Assignment, EnginePhase};
use crate::group::Observation;
use crate::id::{FencingNumber, HostId};

/// Reason why a member keeps the gate of its group closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MemberFault {
    /// No report has been received yet.
    NeverReported(HostId),
    /// The last report is too old.
    Silent(HostId),
    /// The engine reports, or the platform lists, that the host is leaving.
    Leaving(HostId),
    /// An operator has taken the host out of service.
    Drained(HostId),
    /// The engine has no assignment.
    Unassigned(HostId),
    /// The engine follows a different order, with this fencing number.
    OtherAssignment(HostId, FencingNumber),
    /// The engine is still loading its weights.
    Loading(HostId),
}

impl MemberFault {
    /// Compares the report of a member with the assignment that the table gives it.
    #[must_use]
    pub fn from_report(observation: &Observation, expected: &Assignment) -> Option<Self> {
        let report = &observation.report;
        let host = || report.host.clone();
        if report.leaving {
            return Some(Self::Leaving(host()));
        }
        match &report.assignment {
            None => return Some(Self::Unassigned(host())),
            Some(a) if a != expected => return Some(Self::OtherAssignment(host(), a.fencing)),
            Some(_) => {}
        }
        match report.phase {
            EnginePhase::Cold | EnginePhase::Warm => None,
            EnginePhase::Loading => Some(Self::Loading(host())),
            EnginePhase::Idle => Some(Self::Unassigned(host())),
        }
    }
}

impl fmt::Display for MemberFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverReported(host) => write!(f, "host {host} has not reported yet"),
            Self::Silent(host) => write!(f, "host {host} is silent"),
            Self::Leaving(host) => write!(f, "host {host} is leaving"),
            Self::Drained(host) => write!(f, "host {host} is drained"),
            Self::Unassigned(host) => write!(f, "host {host} has no model loaded"),
            Self::OtherAssignment(host, fencing) => {
                write!(
                    f,
                    "host {host} follows an order with fencing number {fencing}"
                )
            }
            Self::Loading(host) => write!(f, "host {host} is loading"),
        }
    }
}
