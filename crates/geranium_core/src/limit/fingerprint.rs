//! Fingerprints of requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{AccountId, ModelId};

const FINGERPRINT_LEN: usize = 16;

/// Identifies a request by its client account, model and content.
///
/// A resend of the same request has the same fingerprint on every entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub [u8; FINGERPRINT_LEN]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request from its account, model and content.
    #[must_use]
    pub fn of(account: &AccountId, model: &ModelId, content: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [
            account.as_str().as_bytes(),
            model.as_str().as_bytes(),
            content,
        ] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_LEN];
        bytes.copy_from_slice(&digest[..FINGERPRINT_LEN]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
