//! Failures of the platform's service.

use std::time::Duration;

use quick_error::quick_error;

quick_error! {
    /// Failure of a call to the platform's service.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The call had no effect: a write did not reach the service, or a read
        /// got no answer.
        Unreachable(endpoint: String, detail: String) {
            display("platform service at {} is unreachable: {}", endpoint, detail)
        }
        /// The call may or may not have taken effect; it has to be read back.
        Ambiguous(key: String, detail: String) {
            display("outcome of the write to {:?} is unknown: {}", key, detail)
        }
        /// The service refused the call: it had no effect.
        Refused(key: String, status: u16, detail: String) {
            display("platform service refused the call for {:?} with status {}: {}", key, status, detail)
        }
        /// The answer was not understood; reads only.
        Malformed(key: String, detail: String) {
            display("answer of the platform service for {:?} is malformed: {}", key, detail)
        }
        /// The client's own rate limit held the call back: it had no effect.
        RateLimited(key: String, retry_after: Duration) {
            display("rate limit of the platform service holds back the call for {:?} for {} ms", key, retry_after.as_millis())
        }
        /// The lease has expired or was revoked.
        LeaseNotFound(lease: u64) {
            display("lease {} does not exist", lease)
        }
        /// The service has returned from an older copy since the call was sent. A write may
        /// have taken effect before or after that.
        Restored(sent: u64, seen: u64) {
            display("platform service has returned from an older copy: era {} before, {} now", sent, seen)
        }
        /// The answer states an era that is not the present one and was discarded.
        Outdated(seen: u64, current: u64) {
            display("answer of the platform service states era {}, but the present one is {}", seen, current)
        }
        /// The changes since a revision are too many to arrive in one answer; a full read
        /// brings their result.
        TooManyChanges(revision: u64, detail: String) {
            display("changes since revision {} are too many: {}", revision, detail)
        }
        /// Changes before the wanted revision are gone; a full read is needed.
        Compacted(revision: u64) {
            display("changes since revision {} are compacted", revision)
        }
    }
}

impl StoreError {
    /// Returns whether a write that failed like this may have taken effect, so
    /// that it has to be read back.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            Self::Ambiguous(..) | Self::Malformed(..) | Self::Restored(..) | Self::Outdated(..)
        )
    }
}
