//! The claim as the platform's store holds it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{ClaimError, Fingerprint, StoredAnswer};
use crate::id::{HostId, Incarnation, StoreRevision};
use crate::time::Timestamp;

/// Schema version of the claims that this version writes.
pub const CLAIM_SCHEMA_VERSION: u32 = 1;

/// The one call machine that may dispatch a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Entry host of the holder.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Number of the call within that run; never used twice.
    pub nonce: u64,
}

/// How far a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched the call or may yet do so.
    Running,
    /// The call certainly was not dispatched by any attempt so far.
    NotRun,
    /// The call ran and this is its answer.
    Done(StoredAnswer),
    /// The call was dispatched and its outcome will not become known.
    Unknown,
}

/// A claim on a call that must not repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Schema version.
    pub version: u32,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Number of the attempt; each one is dispatched at most once.
    pub attempt: u32,
    /// Who alone may dispatch the attempt.
    pub holder: ClaimHolder,
    /// Time after which the holder may no longer dispatch.
    pub dispatch_before: Timestamp,
    /// Time after which the claim may be deleted.
    pub expires_at: Timestamp,
    /// How far the call is.
    pub state: ClaimState,
}

impl Claim {
    /// Returns whether both are states of the same attempt by the same holder.
    #[must_use]
    pub fn is_same_attempt(&self, other: &Self) -> bool {
        self.attempt == other.attempt && self.holder == other.holder
    }

    /// Renders the claim as it is stored.
    ///
    /// # Panics
    ///
    /// Never panics: a claim holds no map with keys that JSON can't express.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("claims are expressible in JSON");
        Bytes::from(text)
    }

    /// Reads a claim as it is stored.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is no claim or has another schema version.
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
    /// The claim, or nothing if the stored value can't be understood.
    pub claim: Option<Claim>,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

impl StoredClaim {
    /// Reads a stored value; a malformed one is kept as not understood.
    #[must_use]
    pub fn read(key: &str, value: &[u8], revision: StoreRevision) -> Self {
        Self {
            claim: Claim::decode(key, value).ok(),
            revision,
        }
    }
}
