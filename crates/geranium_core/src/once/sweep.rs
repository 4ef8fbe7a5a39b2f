//! Deletion of claims whose retention is over.

use super::{CLAIM_PREFIX, StoredClaim};
use crate::id::{AccountId, StoreRevision};
use crate::time::Timestamp;

/// One claim to delete by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimDeletion {
    /// Key of the claim.
    pub key: String,
    /// Revision that the claim must still have.
    pub expected: StoreRevision,
}

/// Returns the prefix of one part of an account's claims.
///
/// The claims of an account are spread evenly over 256 parts by the first byte
/// of their digest, so that one read stays small.
#[must_use]
pub fn claim_sweep_prefix(account: &AccountId, part: u8) -> String {
    format!("{CLAIM_PREFIX}{account}/{part:02x}")
}

/// Returns the claims that may be deleted; one that can't be understood stays.
///
/// A running claim past its expiry is deleted like any other: its holder may no
/// longer dispatch it, because the retention is longer than the dispatch window
/// by more than the clocks differ.
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
