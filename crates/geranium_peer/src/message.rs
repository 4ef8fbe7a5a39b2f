//! Messages that have no type in `geranium_core`.

use geranium_core::record::DrainTarget;

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
