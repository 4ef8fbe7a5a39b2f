//! Requests that crash the backend servers that run them.

use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use crate::host::HostId;

/// Crashes at all entry hosts together after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 3;
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Time within which a backend server must be seen to have ended after it broke
/// off a request; a backend server that lives on has not crashed.
const CONFIRMATION: Duration = Duration::from_secs(6);
/// Requests remembered at most.
const MAX_ENTRIES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    last: Timestamp,
}

#[derive(Clone, Debug)]
struct Suspicion {
    host: HostId,
    incarnation: u64,
    fingerprint: u64,
    at: Timestamp,
}

/// Counts the crashes of each request, told apart by its fingerprint.
///
/// # Examples
///
/// ```
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::crash::CrashTracker;
///
/// let mut tracker = CrashTracker::default();
/// let now = Timestamp::from_millis(1_000);
/// tracker.note_disconnect(&"h1".into(), 7, 99, now);
/// assert_eq!(tracker.confirm_crashes("h1", 7, now), vec![99]);
/// assert!(!tracker.is_refused(99, now));
/// ```
#[derive(Debug, Default)]
pub struct CrashTracker {
    entries: HashMap<u64, Entry>,
    suspicions: Vec<Suspicion>,
}

impl CrashTracker {
    /// Notes that a backend server broke off while it ran a request.
    pub fn note_disconnect(
        &mut self,
        host: &HostId,
        incarnation: u64,
        fingerprint: u64,
        now: Timestamp,
    ) {
        self.suspicions.retain(|s| now.since(s.at) < CONFIRMATION);
        if self.suspicions.len() < MAX_ENTRIES {
            self.suspicions.push(Suspicion {
                host: host.clone(),
                incarnation,
                fingerprint,
                at: now,
            });
        }
    }

    /// Notes that a life of a backend server has ended; returns the requests that it
    /// broke off shortly before, each of which has now crashed it.
    pub fn confirm_crashes(&mut self, host: &str, incarnation: u64, now: Timestamp) -> Vec<u64> {
        let ended = |s: &Suspicion| *s.host == *host && s.incarnation == incarnation;
        let recent = |s: &Suspicion| now.since(s.at) < CONFIRMATION;
        let charged = self.suspicions.iter().filter(|s| ended(s) && recent(s));
        let charged: Vec<u64> = charged.map(|s| s.fingerprint).collect();
        self.suspicions.retain(|s| !ended(s));
        for fingerprint in &charged {
            self.note(*fingerprint, now);
        }
        charged
    }

    /// Notes a crash by a request, here or at another entry host.
    pub fn note(&mut self, fingerprint: u64, now: Timestamp) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, e| now.since(e.last) < MEMORY / 2);
        }
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            last: now,
        });
        entry.crashes += 1;
        entry.last = now;
    }

    /// Notes that a request was answered, so that it was only near the crashes.
    pub fn answered(&mut self, fingerprint: u64) {
        self.entries.remove(&fingerprint);
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn is_refused(&self, fingerprint: u64, now: Timestamp) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.crashes >= CRASHES_TO_REFUSE && now.since(e.last) < MEMORY)
    }
}
