//! Requests that crash the backend servers that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    ChargeState, CrashDigest, CrashId, ExplainedCrash, RequestFingerprint, SuspicionEntry,
};
use crate::event::{EventDraft, EventKind, EventOutbox, EventSubject};
use crate::time::Timestamp;

/// Crashes after which a request is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// Crashes remembered for one request.
const MAX_CRASHES_PER_REQUEST: usize = 4;

/// Settings of the crash registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSettings {
    /// Requests remembered.
    pub max_entries: usize,
    /// Crashes with a known cause remembered.
    pub max_explained: usize,
    /// Time for which a request is remembered after the last change.
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

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run anywhere.
    Clear,
    /// The request was in flight at one crash: it may run only on trial, as the
    /// one suspect of its group.
    Suspect,
    /// The request crashed two groups and is refused; it was not run again.
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

    /// Makes room for later crashes; charges beyond those that refuse the request
    /// change nothing.
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

/// Remembers which requests were in flight when groups crashed.
///
/// A first crash makes every request in flight a suspect. A suspect runs again
/// only on trial, alone among suspects in its group, until it is past the point
/// at which the group crashed. A crash during a trial is charged to the suspect
/// alone, so its neighbours are not blamed.
#[derive(Clone, Debug)]
pub struct CrashRegistry {
    settings: CrashSettings,
    suspicions: BTreeMap<RequestFingerprint, Suspicion>,
    explained: BTreeMap<CrashId, ExplainedCrash>,
    events: EventOutbox,
}

impl CrashRegistry {
    /// Makes an empty registry.
    #[must_use]
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            suspicions: BTreeMap::new(),
            explained: BTreeMap::new(),
            events: EventOutbox::default(),
        }
    }

    /// Returns what may be done with a request.
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

    /// Takes in the crash of a group with the requests of this entry host in
    /// flight there; returns what peers must be told before any of them is
    /// answered or run again.
    ///
    /// `on_trial` is the suspect that the holder of trials names for the crash
    /// ([`TrialHolder::suspect`](super::TrialHolder::suspect)), on whichever entry
    /// host it ran; the crash is charged to it alone.
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

    /// Clears a suspect that finished whole; returns what peers are to be told.
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

    /// Returns all that is known, for a peer that has just started.
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

    /// Merges what a peer knows.
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

    /// Takes the events that explain refusals, the oldest first.
    pub fn take_events(&mut self) -> Vec<EventDraft> {
        self.events.take()
    }

    /// Returns the number of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Returns whether no request is remembered.
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

    /// Charges a crash to its cause and clears all others of it.
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

    /// Keeps the memory within its bounds; refused requests go last.
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
