//! Detection of requests that crash backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    ChargeState, CrashDigest, CrashId, ExplainedCrash, RequestFingerprint, SuspicionEntry,
};
use crate::event::{EventDraft, EventKind, EventOutbox, EventSubject};
use crate::time::Timestamp;

/// Number of charged crashes after which a request is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// Maximum number of crashes kept for one request.
const MAX_CRASHES_PER_REQUEST: usize = 4;

/// Settings of the crash registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Maximum number of requests kept.
    pub max_entries: usize,
    /// Maximum number of crashes with a known cause kept.
    pub max_explained: usize,
    /// Time for which a request is kept after its last change.
    pub retention: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            max_entries: 1_024,
            max_explained: 256,
            retention: Duration::from_hours(1),
        }
    }
}

/// Decision on whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run on any group.
    Clear,
    /// The request was in flight at one crash and may run only on trial, as the
    /// only suspect on its group.
    Suspect,
    /// The request crashed two groups and is refused without running it again.
    Refused,
}

#[derive(Clone, Debug, Default)]
struct Suspicion {
    crashes: BTreeMap<CrashId, ChargeState>,
    changed_at: Timestamp,
}

impl Suspicion {
    fn charged(&self) -> usize {
        let states = self.crashes.values();
        states.filter(|s| **s == ChargeState::Charged).count()
    }

    fn set(&mut self, now: Timestamp, crash: &CrashId, state: ChargeState) {
        if self.crashes.get(crash) >= Some(&state) {
            return;
        }
        self.crashes.insert(crash.clone(), state);
        self.changed_at = self.changed_at.max(now);
        self.forget_cleared();
    }

    /// Limits the number of crashes, removing cleared ones first. Further charges can
    /// be dropped because the request is refused already.
    fn forget_cleared(&mut self) {
        while self.crashes.len() > MAX_CRASHES_PER_REQUEST {
            let mut crashes = self.crashes.iter();
            let cleared = crashes.find(|(_, s)| **s == ChargeState::Cleared);
            let Some(crash) = cleared.map(|(crash, _)| crash.clone()) else {
                self.crashes.pop_last();
                return;
            };
            self.crashes.remove(&crash);
        }
    }
}

/// Tracks which requests were in flight when groups crashed.
///
/// The first crash makes every request in flight a suspect. A suspect runs again
/// only on trial, as the only suspect on its group, until it is past the point at
/// which the group crashed. A crash during a trial is charged only to the suspect,
/// so that other requests on the group are not held responsible.
#[derive(Clone, Debug)]
pub struct CrashRegistry {
    settings: CrashSettings,
    suspicions: BTreeMap<RequestFingerprint, Suspicion>,
    explained: BTreeMap<CrashId, ExplainedCrash>,
    events: EventOutbox,
}

impl CrashRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspicions: BTreeMap::new(),
            explained: BTreeMap::new(),
            events: EventOutbox::default(),
        }
    }

    /// Returns whether a request may run.
    #[must_use]
    pub fn verdict(&self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashVerdict {
        let known = self.suspicions.get(fingerprint);
        let live = known.filter(|s| now.since(s.changed_at) < self.settings.retention);
        match live.map_or(0, Suspicion::charged) {
            0 => CrashVerdict::Clear,
            n if n < CRASHES_TO_REFUSE => CrashVerdict::Suspect,
            _ => CrashVerdict::Refused,
        }
    }

    /// Records the crash of a group and the requests of this entry host that were in
    /// flight on it. The returned digest must reach the peers before any of these
    /// requests is answered or run again.
    ///
    /// `on_trial` is the suspect that the trial holder reports for the crash
    /// ([`TrialHolder::suspect`](super::TrialHolder::suspect)), on any entry host;
    /// the crash is charged only to it.
    pub fn group_crashed(
        &mut self,
        now: Timestamp,
        crash: &CrashId,
        in_flight: &[RequestFingerprint],
        on_trial: Option<RequestFingerprint>,
    ) -> CrashDigest {
        if let Some(cause) = on_trial {
            let explained = ExplainedCrash {
                crash: crash.clone(),
                cause,
                at: now,
            };
            self.explain(now, &explained);
        }
        for fingerprint in in_flight {
            self.charge(now, fingerprint, crash);
        }
        self.trim(now);
        let affected = in_flight.iter().copied().chain(on_trial);
        let affected: BTreeSet<RequestFingerprint> = affected.collect();
        CrashDigest {
            entries: affected.into_iter().filter_map(|f| self.entry(f)).collect(),
            explained: self.explained.get(crash).cloned().into_iter().collect(),
        }
    }

    /// Clears a suspect that completed; returns the digest to send to the peers.
    pub fn succeeded(&mut self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashDigest {
        let Some(suspicion) = self.suspicions.get_mut(fingerprint) else {
            return CrashDigest::default();
        };
        if suspicion.charged() >= CRASHES_TO_REFUSE {
            return CrashDigest::default();
        }
        let crashes: Vec<CrashId> = suspicion.crashes.keys().cloned().collect();
        for crash in &crashes {
            suspicion.set(now, crash, ChargeState::Cleared);
        }
        CrashDigest {
            entries: self.entry(*fingerprint).into_iter().collect(),
            explained: Vec::new(),
        }
    }

    /// Returns the whole registry, for a peer that has just started.
    #[must_use]
    pub fn export(&self) -> CrashDigest {
        CrashDigest {
            entries: self
                .suspicions
                .keys()
                .filter_map(|f| self.entry(*f))
                .collect(),
            explained: self.explained.values().cloned().collect(),
        }
    }

    /// Merges a digest from a peer.
    pub fn import(&mut self, now: Timestamp, digest: &CrashDigest) {
        for explained in &digest.explained {
            self.explain(now, explained);
        }
        for entry in &digest.entries {
            for (crash, state) in &entry.crashes {
                match state {
                    ChargeState::Charged => self.charge(now, &entry.fingerprint, crash),
                    ChargeState::Cleared => self.clear(now, &entry.fingerprint, crash),
                }
            }
        }
        self.trim(now);
    }

    /// Removes and returns the recorded events that explain refusals, oldest first.
    pub fn take_events(&mut self) -> Vec<EventDraft> {
        self.events.take()
    }

    /// Returns the number of requests in the registry.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether the registry holds no request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    fn entry(&self, fingerprint: RequestFingerprint) -> Option<SuspicionEntry> {
        let suspicion = self.suspicions.get(&fingerprint)?;
        let crashes = suspicion.crashes.iter();
        Some(SuspicionEntry {
            fingerprint,
            crashes: crashes.map(|(c, s)| (c.clone(), *s)).collect(),
            changed_at: suspicion.changed_at,
        })
    }

    fn charge(&mut self, now: Timestamp, fingerprint: &RequestFingerprint, crash: &CrashId) {
        let explained = self.explained.get(crash);
        if explained.is_some_and(|e| e.cause != *fingerprint) {
            return;
        }
        let suspicion = self.suspicions.entry(*fingerprint).or_default();
        let before = suspicion.charged();
        suspicion.set(now, crash, ChargeState::Charged);
        if before < CRASHES_TO_REFUSE && suspicion.charged() >= CRASHES_TO_REFUSE {
            let reason = format!("request {fingerprint} crashed {CRASHES_TO_REFUSE} groups");
            let subject = EventSubject::group(&crash.group);
            let event = EventDraft::new(EventKind::CrashSuspected, subject, reason);
            self.events.push(event);
        }
    }

    fn clear(&mut self, now: Timestamp, fingerprint: &RequestFingerprint, crash: &CrashId) {
        let suspicion = self.suspicions.entry(*fingerprint).or_default();
        suspicion.set(now, crash, ChargeState::Cleared);
    }

    /// Charges a crash to its cause and clears all other requests of it.
    fn explain(&mut self, now: Timestamp, explained: &ExplainedCrash) {
        if self.explained.contains_key(&explained.crash) {
            return;
        }
        self.explained
            .insert(explained.crash.clone(), explained.clone());
        for (fingerprint, suspicion) in &mut self.suspicions {
            if *fingerprint != explained.cause && suspicion.crashes.contains_key(&explained.crash) {
                suspicion.set(now, &explained.crash, ChargeState::Cleared);
            }
        }
        self.charge(now, &explained.cause, &explained.crash);
    }

    /// Removes expired entries and enforces the size limits; refused requests are
    /// evicted last.
    fn trim(&mut self, now: Timestamp) {
        let retention = self.settings.retention;
        self.suspicions
            .retain(|_, s| now.since(s.changed_at) < retention);
        self.explained.retain(|_, e| now.since(e.at) < retention);
        let excess = self
            .suspicions
            .len()
            .saturating_sub(self.settings.max_entries);
        if excess > 0 {
            let suspicions = self.suspicions.iter();
            let mut order: Vec<_> = suspicions
                .map(|(f, s)| (s.charged(), s.changed_at, *f))
                .collect();
            order.sort_unstable();
            for (_, _, fingerprint) in &order[..excess] {
                self.suspicions.remove(fingerprint);
            }
        }
        let excess = self
            .explained
            .len()
            .saturating_sub(self.settings.max_explained);
        if excess > 0 {
            let mut order: Vec<_> = self
                .explained
                .values()
                .map(|e| (e.at, e.crash.clone()))
                .collect();
            order.sort_unstable();
            for (_, crash) in &order[..excess] {
                self.explained.remove(crash);
            }
        }
    }
}
