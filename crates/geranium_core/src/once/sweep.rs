//! Garbage collection of expired claims.

use super::{CLAIM_PREFIX, StoredClaim};
use crate::id::{AccountId, StoreRevision};
use crate::time::Timestamp;

/// A claim to delete by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimDeletion {
    /// Key of the claim.
    pub key: String,
    /// Revision that the claim must have for the deletion to take effect.
    pub expected: StoreRevision,
}

/// Returns the key prefix of one partition of an account's claims.
///
/// The first byte of the key digest distributes the claims of an account evenly
/// over 256 partitions, so that the result of one range read stays small.
#[must_use]
pub fn claim_sweep_prefix(account: &AccountId, part: u8) -> String {
    format!("{CLAIM_PREFIX}{account}/{part:02x}")
}

/// Returns the claims that may be deleted; a claim that can't be decoded is kept.
///
/// An expired claim in state [`Running`](super::ClaimState::Running) is deleted
/// like any other: its holder can no longer dispatch it, because the retention
/// exceeds the dispatch window by more than the maximum clock skew.
#[must_use]
pub fn expired_claims<'a>(
    now: Timestamp,
    claims: impl IntoIterator<Item = (&'a str, &'a StoredClaim)>,
) -> Vec<ClaimDeletion> {
    claims
        .into_iter()
        .filter(|(_, stored)| {
            let claim = stored.claim.as_ref();
            claim.is_some_and(|claim| now >= claim.expires_at)
        })
        .map(|(key, stored)| ClaimDeletion {
            key: key.to_owned(),
            expected: stored.revision,
        })
        .collect()
}
