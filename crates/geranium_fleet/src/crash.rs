//! Detection of requests that crash the backend servers that run them.

use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::host::HostId;

/// Number of crashes, over all entry hosts, after which a request is refused.
const REFUSAL_THRESHOLD: usize = 3;
/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Time within which a backend server must be seen to have stopped after it dropped a
/// request; a backend server that keeps running has not crashed.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(6);
/// Maximum number of tracked requests.
const MAX_RECORDS: usize = 4_096;

/// Identifies a crash: the incarnation of a backend server that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: u64,
}

#[derive(Clone, Debug)]
struct CrashRecord {
    crashes: HashSet<CrashId>,
    last: Timestamp,
}

#[derive(Clone, Debug)]
struct PendingCrash {
    host: HostId,
    incarnation: u64,
    fingerprint: u64,
    at: Timestamp,
}

/// Counts the crashes caused by each request, identified by its fingerprint.
///
/// # Examples
///
/// ```
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::crash::CrashTracker;
///
/// let mut tracker = CrashTracker::default();
/// let now = Timestamp::from_millis(1_000);
/// tracker.record_disconnect(&"h1".into(), 7, 99, now);
/// assert_eq!(tracker.confirm_crashes("h1", 7, now), vec![99]);
/// assert!(!tracker.is_refused(99, now));
/// ```
#[derive(Debug, Default)]
pub struct CrashTracker {
    records: HashMap<u64, CrashRecord>,
    pending: Vec<PendingCrash>,
}

impl CrashTracker {
    /// Records that a backend server disconnected while it ran a request.
    pub fn record_disconnect(
        &mut self,
        host: &HostId,
        incarnation: u64,
        fingerprint: u64,
        now: Timestamp,
    ) {
        self.pending
            .retain(|s| now.since(s.at) < CONFIRMATION_WINDOW);
        if self.pending.len() < MAX_RECORDS {
            self.pending.push(PendingCrash {
                host: host.clone(),
                incarnation,
                fingerprint,
                at: now,
            });
        }
    }

    /// Records that an incarnation of a backend server has stopped. Returns the requests that
    /// it dropped shortly before; each is charged with a crash.
    pub fn confirm_crashes(&mut self, host: &str, incarnation: u64, now: Timestamp) -> Vec<u64> {
        let ended = |s: &PendingCrash| *s.host == *host && s.incarnation == incarnation;
        let recent = |s: &PendingCrash| now.since(s.at) < CONFIRMATION_WINDOW;
        let confirmed = self.pending.iter().filter(|s| ended(s) && recent(s));
        let confirmed: Vec<u64> = confirmed.map(|s| s.fingerprint).collect();
        self.pending.retain(|s| !ended(s));
        for fingerprint in &confirmed {
            let crash = CrashId {
                host: host.into(),
                incarnation,
            };
            self.record_crash(*fingerprint, crash, now);
        }
        confirmed
    }

    /// Records a crash caused by a request, here or at another entry host. Each crash counts
    /// once, however often it is reported.
    pub fn record_crash(&mut self, fingerprint: u64, crash: CrashId, now: Timestamp) {
        if self.records.len() >= MAX_RECORDS {
            self.records
                .retain(|_, e| now.since(e.last) < CRASH_RETENTION / 2);
        }
        let record = self.records.entry(fingerprint).or_insert(CrashRecord {
            crashes: HashSet::default(),
            last: now,
        });
        if record.crashes.insert(crash) {
            record.last = now;
        }
    }

    /// Clears the crashes of a request that was answered, so that it did not cause them.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn is_refused(&self, fingerprint: u64, now: Timestamp) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|e| {
            e.crashes.len() >= REFUSAL_THRESHOLD && now.since(e.last) < CRASH_RETENTION
        })
    }
}
