//! Messages between the users and the holder of cold credits.

use serde::{Deserialize, Serialize};

use crate::id::{GroupId, HostId, Incarnation};
use crate::time::Timestamp;

/// A user's request for credits of a cold group.
///
/// Every figure is a total, not a difference, so that a lost or repeated message
/// does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Entry host that asks.
    pub user: HostId,
    /// Run of the entry host's process.
    pub incarnation: Incarnation,
    /// Cold group.
    pub group: GroupId,
    /// Generation of the group that the user knows.
    pub generation: u64,
    /// Grows with each request of an incarnation for a group.
    pub sequence: u64,
    /// Requests of the user in progress on the group.
    pub in_use: u32,
    /// Credits that the user holds until an answer comes; at least `in_use`.
    pub keep: u32,
    /// Credits that the user would like to hold.
    pub wanted: u32,
    /// Requests that succeeded on this generation.
    pub successes: u32,
    /// Requests that failed on this generation.
    pub failures: u32,
    /// Whether the user treats the group as cold although it reports itself warm.
    pub marked: bool,
    /// Times that the user found so on this generation.
    pub marks: u32,
    /// Time of the request on the user's clock, for the answer to repeat.
    pub asked_at: Timestamp,
}

/// The holder's answer: how many credits the user holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Cold group.
    pub group: GroupId,
    /// Generation of the group that the credits are good for.
    pub generation: u64,
    /// Sequence number of the request that is answered.
    pub sequence: u64,
    /// Credits that the user holds now; replaces any earlier grant.
    pub credits: u32,
    /// Time of the request on the user's clock; the lifetime counts from here.
    pub asked_at: Timestamp,
    /// Whether the group has warmed up and needs no credits any more.
    pub warm: bool,
}
