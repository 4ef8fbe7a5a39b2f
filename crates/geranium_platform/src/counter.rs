//! Counts of the calls to the platform's service.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::StoreError;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallKind {
    /// Reads one value or a range.
    Range,
    /// Conditional write.
    Transaction,
    /// Grants a lease.
    LeaseGrant,
    /// Prolongs a lease.
    LeaseKeepAlive,
    /// Ends a lease.
    LeaseRevoke,
    /// Opens a watch, which counts as one call while it waits.
    Watch,
}

impl StoreCallKind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::Range,
        Self::Transaction,
        Self::LeaseGrant,
        Self::LeaseKeepAlive,
        Self::LeaseRevoke,
        Self::Watch,
    ];

    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Transaction => "transaction",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeepAlive => "lease_keep_alive",
            Self::LeaseRevoke => "lease_revoke",
            Self::Watch => "watch",
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallResult {
    /// A usable answer came.
    Answered,
    /// No connection, or no answer to a read.
    Unreachable,
    /// The outcome of a write is unknown.
    Ambiguous,
    /// The service refused the call.
    Refused,
    /// The answer to a read was not understood.
    Malformed,
    /// The client's own rate limit held the call back; it was not sent.
    RateLimited,
    /// The service has returned from an older copy of its data, or the answer is from before.
    Restored,
}

impl StoreCallResult {
    /// Every result.
    pub const ALL: [Self; 7] = [
        Self::Answered,
        Self::Unreachable,
        Self::Ambiguous,
        Self::Refused,
        Self::Malformed,
        Self::RateLimited,
        Self::Restored,
    ];

    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Unreachable => "unreachable",
            Self::Ambiguous => "ambiguous",
            Self::Refused => "refused",
            Self::Malformed => "malformed",
            Self::RateLimited => "rate_limited",
            Self::Restored => "restored",
        }
    }

    /// Classifies the outcome of a call.
    #[must_use]
    pub const fn of<T>(outcome: &Result<T, StoreError>) -> Self {
        match outcome {
            Ok(_) => Self::Answered,
            Err(StoreError::Unreachable(..) | StoreError::TooManyChanges(..)) => Self::Unreachable,
            Err(StoreError::Ambiguous(..)) => Self::Ambiguous,
            Err(StoreError::Malformed(..)) => Self::Malformed,
            Err(StoreError::RateLimited(..)) => Self::RateLimited,
            Err(StoreError::Restored(..) | StoreError::Outdated(..)) => Self::Restored,
            Err(
                StoreError::Refused(..) | StoreError::LeaseNotFound(_) | StoreError::Compacted(_),
            ) => Self::Refused,
        }
    }
}

/// Counts calls by kind and result; cheap enough for every call.
#[derive(Debug, Default)]
pub struct StoreCallCounter {
    counts: [[AtomicU64; StoreCallResult::ALL.len()]; StoreCallKind::ALL.len()],
}

impl StoreCallCounter {
    /// Counts one call.
    pub fn count(&self, kind: StoreCallKind, result: StoreCallResult) {
        self.counts[kind as usize][result as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the calls of a kind that ended with a result.
    #[must_use]
    pub fn get(&self, kind: StoreCallKind, result: StoreCallResult) -> u64 {
        self.counts[kind as usize][result as usize].load(Ordering::Relaxed)
    }

    /// Returns the calls of a kind that were sent or tried, whatever their result.
    #[must_use]
    pub fn sent(&self, kind: StoreCallKind) -> u64 {
        self.get(kind, StoreCallResult::Answered) + self.unanswered(kind)
    }

    /// Returns the calls sent and the calls without a usable answer.
    #[must_use]
    pub fn totals(&self) -> (u64, u64) {
        // Each number is read once: calls are counted meanwhile.
        let unanswered = StoreCallKind::ALL.map(|kind| self.unanswered(kind));
        let answered = StoreCallKind::ALL.map(|kind| self.get(kind, StoreCallResult::Answered));
        let unanswered = unanswered.iter().sum();
        (answered.iter().sum::<u64>() + unanswered, unanswered)
    }

    fn unanswered(&self, kind: StoreCallKind) -> u64 {
        let results = StoreCallResult::ALL.into_iter().filter(|result| {
            !matches!(
                result,
                StoreCallResult::Answered | StoreCallResult::RateLimited
            )
        });
        results.map(|result| self.get(kind, result)).sum()
    }
}
