//! Hashes of account keys.

use sha2::{Digest, Sha256};

/// Returns the SHA-256 of an account key in lower-case hexadecimal.
///
/// Records hold only this hash. A fast, unsalted hash is sufficient because keys
/// are long random strings that cannot be guessed by brute force.
///
/// # Examples
///
/// ```
/// use geranium_core::record::hash_key;
///
/// assert!(hash_key("k").starts_with("8254c329"));
/// ```
#[must_use]
pub fn hash_key(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
