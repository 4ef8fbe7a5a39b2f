//! Errors of claims, their keys and their settings.

use quick_error::quick_error;

quick_error! {
    /// Error in a claim, its key or its settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClaimError {
        /// The idempotency key is empty.
        EmptyKey {
            display("idempotency key is empty")
        }
        /// The idempotency key exceeds the maximum length.
        KeyTooLong(len: usize, max: usize) {
            display("idempotency key has {} bytes; the maximum is {}", len, max)
        }
        /// The stored value can't be decoded as a claim.
        Malformed(key: String, detail: String) {
            display("claim {:?} is malformed: {}", key, detail)
        }
        /// The claim has an unsupported schema version.
        SchemaVersion(key: String, version: u32) {
            display("claim {:?} has schema version {}, which is not supported", key, version)
        }
        /// The retention is shorter than the other settings require.
        RetentionTooShort(retention_secs: u64, minimum_secs: u64) {
            display(
                "claim retention of {} s is too short; it must be at least {} s",
                retention_secs, minimum_secs
            )
        }
    }
}
