//! Keys of claims and fingerprints of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ClaimError;
use crate::id::{AccountId, RequestId};
use crate::time::Timestamp;

/// Key prefix of all claims in the platform's store.
pub const CLAIM_PREFIX: &str = "/geranium/claims/";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LEN: usize = 256;

/// Encodes bytes as lower-case hexadecimal.
pub(super) fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 0xf)]));
    }
    text
}

/// An idempotency key chosen by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the text of the key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for IdempotencyKey {
    type Err = ClaimError;

    fn from_str(text: &str) -> Result<Self, ClaimError> {
        if text.is_empty() {
            return Err(ClaimError::EmptyKey);
        }
        if text.len() > MAX_KEY_LEN {
            return Err(ClaimError::KeyTooLong(text.len(), MAX_KEY_LEN));
        }
        Ok(Self(text.to_owned()))
    }
}

/// Digest of a request's method, path and body; distinguishes a resend from a
/// different request under the same idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(String);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    ///
    /// Each part is prefixed with its length, so that moving bytes from one part
    /// to the next changes the fingerprint.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hex(&hasher.finalize()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Returns the store key of the claim for an account's idempotency key.
#[must_use]
pub fn claim_key(account: &AccountId, key: &IdempotencyKey) -> String {
    let digest = hex(&Sha256::digest(key.as_str().as_bytes()));
    format!("{CLAIM_PREFIX}{account}/{digest}")
}

/// A non-idempotent call submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Request that carries the call; named in events.
    pub request: RequestId,
    /// Client account that sent it.
    pub account: AccountId,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
    /// Time at which the caller first used the key, if the caller states it.
    pub key_issued_at: Option<Timestamp>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Timestamp,
}

impl ClaimRequest {
    /// Returns the store key of the claim.
    #[must_use]
    pub fn store_key(&self) -> String {
        claim_key(&self.account, &self.key)
    }
}
