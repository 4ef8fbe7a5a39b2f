//! The claim record in the platform's store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{ClaimError, Fingerprint, StoredAnswer};
use crate::id::{HostId, Incarnation, StoreRevision};
use crate::time::Timestamp;

/// Schema version of claims written by this build.
pub const CLAIM_SCHEMA_VERSION: u32 = 1;

/// The only [`ClaimCall`](super::ClaimCall) that may dispatch a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Entry host of the holder.
    pub host: HostId,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Number of the call within the incarnation; never reused.
    pub nonce: u64,
}

/// Execution state of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched the call or may still dispatch it.
    Running,
    /// No attempt so far has dispatched the call.
    NotRun,
    /// The call ran; holds its stored response.
    Done(StoredAnswer),
    /// The call was dispatched, and its outcome was not determined.
    Unknown,
}

/// A claim on a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Schema version of the encoding.
    pub version: u32,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the attempt; each one is dispatched at most once.
    pub attempt: u32,
    /// The only holder that may dispatch the attempt.
    pub holder: ClaimHolder,
    /// Time after which the holder may no longer dispatch.
    pub dispatch_before: Timestamp,
    /// Time after which the claim may be deleted.
    pub expires_at: Timestamp,
    /// Execution state of the call.
    pub state: ClaimState,
}

impl Claim {
    /// Returns whether both claims have the same attempt number and holder.
    #[must_use]
    pub fn is_same_attempt(&self, other: &Self) -> bool {
        self.attempt == other.attempt && self.holder == other.holder
    }

    /// Encodes the claim for the store.
    ///
    /// # Panics
    ///
    /// Never panics, because a claim holds no map with keys that JSON can't express.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("a claim is serializable as JSON");
        Bytes::from(text)
    }

    /// Decodes a claim from its stored form.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a claim or has an unsupported schema
    /// version.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, ClaimError> {
        let claim: Self = serde_json::from_slice(value)
            .map_err(|e| ClaimError::Malformed(key.to_owned(), e.to_string()))?;
        if claim.version != CLAIM_SCHEMA_VERSION {
            return Err(ClaimError::SchemaVersion(key.to_owned(), claim.version));
        }
        Ok(claim)
    }
}

/// A claim with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredClaim {
    /// The claim, or `None` if the stored value can't be decoded.
    pub claim: Option<Claim>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

impl StoredClaim {
    /// Decodes a stored value; `claim` is `None` if that fails.
    #[must_use]
    pub fn read(key: &str, value: &[u8], revision: StoreRevision) -> Self {
        Self {
            claim: Claim::decode(key, value).ok(),
            revision,
        }
    }
}
