//! Replicated table of requests that crash backend servers.

use std::collections::BTreeMap;

use crate::limit::RequestFingerprint;
use crate::limit::{ChargeState, CrashDigest, CrashId, ExplainedCrash, SuspicionEntry};
use crate::time::Timestamp;

/// Replicated table of requests that crash backend servers.
///
/// Merging is idempotent and independent of order, so hosts can forward what they
/// learn without forwarding it in endless loops.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashTable {
    suspicions: BTreeMap<RequestFingerprint, Suspicion>,
    explained: BTreeMap<CrashId, ExplainedCrash>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Suspicion {
    crashes: BTreeMap<CrashId, ChargeState>,
    changed_at: Timestamp,
}

impl CrashTable {
    /// Merges a digest; returns the entries that changed, in their merged state.
    pub(super) fn merge(&mut self, digest: &CrashDigest) -> CrashDigest {
        let entries = digest.entries.iter();
        let explained = digest.explained.iter();
        CrashDigest {
            entries: entries.filter_map(|e| self.merge_entry(e)).collect(),
            explained: explained.filter(|e| self.explain(e)).cloned().collect(),
        }
    }

    /// Removes entries that have not changed since `oldest`.
    pub(super) fn forget_before(&mut self, oldest: Timestamp) {
        self.suspicions.retain(|_, s| s.changed_at >= oldest);
        self.explained.retain(|_, e| e.at >= oldest);
    }

    fn merge_entry(&mut self, entry: &SuspicionEntry) -> Option<SuspicionEntry> {
        let held = self.suspicions.entry(entry.fingerprint).or_default();
        let before = held.clone();
        for (crash, state) in &entry.crashes {
            let known = held.crashes.entry(crash.clone()).or_insert(*state);
            *known = (*known).max(*state);
        }
        held.changed_at = held.changed_at.max(entry.changed_at);
        if *held == before {
            return None;
        }
        let crashes = held.crashes.iter();
        Some(SuspicionEntry {
            fingerprint: entry.fingerprint,
            crashes: crashes
                .map(|(crash, state)| (crash.clone(), *state))
                .collect(),
            changed_at: held.changed_at,
        })
    }

    fn explain(&mut self, explained: &ExplainedCrash) -> bool {
        if self.explained.contains_key(&explained.crash) {
            return false;
        }
        self.explained
            .insert(explained.crash.clone(), explained.clone());
        true
    }
}
