//! The registration of this entry host, as far as it is confirmed.

use geranium_core::time::Timestamp;

/// Times of this entry host's registration.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnRegistration {
    /// Time at which the store had confirmed the registration.
    pub(super) registered_at: Timestamp,
    /// Time at which the last confirmed renewal was requested; the lease begins no earlier.
    pub(super) renewed_at: Timestamp,
}
