//! Faults of claims and their keys.

use quick_error::quick_error;

quick_error! {
    /// Fault of a claim, its key or its settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClaimError {
        /// The idempotency key has no characters.
        EmptyKey {
            display("idempotency key is empty")
        }
        /// The idempotency key is too long.
        KeyTooLong(len: usize, max: usize) {
            display("idempotency key has {} bytes; at most {} are valid", len, max)
        }
        /// The stored value is not a claim that this version understands.
        Malformed(key: String, detail: String) {
            display("claim {:?} is malformed: {}", key, detail)
        }
        /// The claim was written with another schema version.
        SchemaVersion(key: String, version: u32) {
            display("claim {:?} has schema version {}, which is not supported", key, version)
        }
        /// The retention is too short for the other settings.
        RetentionTooShort(retention_secs: u64, minimum_secs: u64) {
            display(
                "claim retention of {} s is too short; it has to be at least {} s",
                retention_secs, minimum_secs
            )
        }
    }
}
