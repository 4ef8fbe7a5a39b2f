//! Messages that have no type in `geranium_core`.

use std::time::Duration;

use geranium_core::id::{GroupId, HostId};
use geranium_core::record::DrainTarget;

/// Asks for cold-start credits of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CreditRequest {
    /// Host that asks.
    pub host: HostId,
    /// The group.
    pub group: GroupId,
    /// Generation of the group; credits of another one are void.
    pub generation: u64,
    /// Credits wanted.
    pub wanted: u32,
}

/// Cold-start credits that were granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CreditGrant {
    /// Credits granted; zero if none is free or the holder is another host.
    pub granted: u32,
    /// Time for which unused credits may be used.
    pub valid_for: Duration,
}

/// State of a claim at the host that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The host knows of no such claim.
    Absent,
    /// The call is still running.
    Running,
    /// The call ended; the answer that was kept.
    Done(Vec<u8>),
    /// The outcome of the call is not known.
    Unknown,
}

/// Tells that a failure domain or a host leaves or is back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// What leaves or is back.
    pub target: DrainTarget,
    /// Whether it leaves.
    pub leaving: bool,
    /// Why, for people.
    pub reason: String,
}
