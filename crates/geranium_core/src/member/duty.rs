//! Assignment of duties to hosts by rendezvous hashing.
//!
//! Hosts with the same view of the members assign each duty to the same host
//! without exchanging messages. A member that joins or leaves moves only its own
//! duties. Views may differ temporarily, so a duty is never an exclusive right to
//! act.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

use crate::id::{GroupId, HostId};

/// Number of hosts in a failure domain that watch the platform's store.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of entry hosts that poll each backend server.
pub const OBSERVERS_PER_SERVER: usize = 2;

/// Number of hosts that represent a failure domain to other domains.
pub const REPRESENTATIVES: usize = 2;

/// Returns the `count` members with the highest rendezvous weight for a duty,
/// highest first.
///
/// # Examples
///
/// ```
/// use geranium_core::id::HostId;
/// use geranium_core::member::ranked;
///
/// let hosts = ["e1", "e2", "e3"].map(HostId::new);
/// let two = ranked(&hosts, "watch", 2);
/// let one_left = [two[1].clone()];
/// assert_eq!(ranked(&one_left, "watch", 2), [two[1]]);
/// ```
#[must_use]
pub fn ranked<'a>(members: &'a [HostId], duty: &str, count: usize) -> Vec<&'a HostId> {
    let mut weighted: Vec<(u64, &HostId)> = members.iter().map(|m| (weight(duty, m), m)).collect();
    weighted.sort_by_key(|(weight, host)| (Reverse(*weight), *host));
    weighted.into_iter().take(count).map(|(_, m)| m).collect()
}

/// Returns the members that watch the platform's store for their failure domain.
#[must_use]
pub fn watchers(members: &[HostId]) -> Vec<&HostId> {
    ranked(members, "watch", WATCHERS_PER_DOMAIN)
}

/// Returns the members that poll a backend server host of their failure domain.
#[must_use]
pub fn observers<'a>(members: &'a [HostId], server: &HostId) -> Vec<&'a HostId> {
    ranked(members, &format!("observe/{server}"), OBSERVERS_PER_SERVER)
}

/// Returns the member that grants the cold-start credits of a group.
#[must_use]
pub fn budget_holder<'a>(members: &'a [HostId], group: &GroupId) -> Option<&'a HostId> {
    ranked(members, &format!("budget/{group}"), 1).pop()
}

/// Returns the members that represent their failure domain to other domains.
#[must_use]
pub fn representatives(members: &[HostId]) -> Vec<&HostId> {
    ranked(members, "represent", REPRESENTATIVES)
}

/// Hashes a duty and a host to the host's rendezvous weight for that duty.
pub(super) fn weight(duty: &str, host: &HostId) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(duty);
    hasher.update([0]);
    hasher.update(host.as_str());
    let hash = hasher.finalize();
    let head = hash.iter().take(size_of::<u64>());
    head.fold(0, |number, byte| number << 8 | u64::from(*byte))
}
