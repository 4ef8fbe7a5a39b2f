//! Messages between the users and the holder of cold credits.

use serde::{Deserialize, Serialize};

use crate::id::{GroupId, HostId, Incarnation};
use crate::time::Timestamp;

/// A user's request for credits of a cold group.
///
/// Every count is a total rather than a difference, so that lost and duplicated
/// messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Entry host that sends the request.
    pub user: HostId,
    /// Incarnation of the entry host's process.
    pub incarnation: Incarnation,
    /// Cold group.
    pub group: GroupId,
    /// Generation of the group that the user knows.
    pub generation: u64,
    /// Sequence number; it increases with each request of an incarnation for a group.
    pub sequence: u64,
    /// Requests of the user in progress on the group.
    pub in_use: u32,
    /// Credits that the user keeps until it receives an answer; at least `in_use`.
    pub keep: u32,
    /// Credits that the user wants to hold.
    pub wanted: u32,
    /// Total of the requests that succeeded on this generation.
    pub successes: u32,
    /// Total of the requests that failed on this generation.
    pub failures: u32,
    /// Whether the user treats the group as cold although it reports itself warm.
    pub marked: bool,
    /// Number of times that the user detected this on this generation.
    pub marks: u32,
    /// Time of the request on the user's clock, which the answer echoes.
    pub asked_at: Timestamp,
}

/// The holder's answer to a [`CreditRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Cold group.
    pub group: GroupId,
    /// Generation of the group for which the credits are valid.
    pub generation: u64,
    /// Sequence number of the answered request.
    pub sequence: u64,
    /// Credits that the user holds now; replaces any earlier grant.
    pub credits: u32,
    /// Time of the request on the user's clock, from which the lifetime counts.
    pub asked_at: Timestamp,
    /// Whether the group has warmed up and no longer needs credits.
    pub warm: bool,
}
