//! Kinds of calls, their rate limits and counts.

use std::collections::BTreeMap;

use geranium_core::time::Timestamp;
use geranium_platform::TokenBucket;
use parking_lot::Mutex;

/// Kind of a call, for the rate limits and the counts.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallKind {
    /// Name in the counts.
    pub name: &'static str,
    /// Whether the limit of writes holds for it.
    pub is_write: bool,
}

pub(super) const RANGE: CallKind = read_call("range");
pub(super) const PUT: CallKind = write_call("put");
pub(super) const TRANSACTION: CallKind = write_call("transaction");
pub(super) const LEASE_GRANT: CallKind = write_call("lease_grant");
pub(super) const LEASE_KEEP_ALIVE: CallKind = write_call("lease_keep_alive");
pub(super) const LEASE_REVOKE: CallKind = write_call("lease_revoke");
pub(super) const WATCH: CallKind = read_call("watch");

const fn read_call(name: &'static str) -> CallKind {
    CallKind {
        name,
        is_write: false,
    }
}

const fn write_call(name: &'static str) -> CallKind {
    CallKind {
        name,
        is_write: true,
    }
}

/// Rate limits of the service.
#[derive(Debug)]
pub(super) struct RateLimits {
    reads: Option<Mutex<TokenBucket>>,
    writes: Option<Mutex<TokenBucket>>,
}

impl RateLimits {
    /// Makes limits in calls per second.
    pub fn new(reads: Option<u32>, writes: Option<u32>) -> Self {
        let bucket =
            |rate: Option<u32>| rate.map(|n| Mutex::new(TokenBucket::new(n, Timestamp(0))));
        Self {
            reads: bucket(reads),
            writes: bucket(writes),
        }
    }

    /// Returns whether a call may be made now, and takes it.
    pub fn take(&self, kind: CallKind, now: Timestamp) -> bool {
        let bucket = if kind.is_write {
            &self.writes
        } else {
            &self.reads
        };
        bucket
            .as_ref()
            .is_none_or(|bucket| bucket.lock().try_take(now).is_ok())
    }
}

/// Counts a call.
pub(super) fn count(counts: &mut BTreeMap<String, u64>, kind: CallKind) {
    *counts.entry(kind.name.to_owned()).or_default() += 1;
}
