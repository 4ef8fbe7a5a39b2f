//! Requests that crash the backend servers that run them.

use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

/// Crashes at all entry hosts together after which a request is refused.
const CRASHES_TO_REFUSE: u32 = 3;
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_secs(600);
/// Requests remembered at most.
const MAX_ENTRIES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Entry {
    crashes: u32,
    last: Timestamp,
}

/// Counts the crashes of each request, told apart by its fingerprint.
#[derive(Debug, Default)]
pub struct CrashLedger {
    entries: HashMap<u64, Entry>,
}

impl CrashLedger {
    /// Notes that a backend server ended while it ran a request.
    pub fn note(&mut self, fingerprint: u64, now: Timestamp) -> u32 {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, e| now.since(e.last) < MEMORY / 2);
        }
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            crashes: 0,
            last: now,
        });
        entry.crashes += 1;
        entry.last = now;
        entry.crashes
    }

    /// Returns whether a request must not run again.
    #[must_use]
    pub fn is_refused(&self, fingerprint: u64, now: Timestamp) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|e| e.crashes >= CRASHES_TO_REFUSE && now.since(e.last) < MEMORY)
    }
}
