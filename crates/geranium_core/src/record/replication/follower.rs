//! Schedule of the reads and watches of the store.

use std::time::Duration;

use rand::Rng;

use super::{ConfigEffect, ReplicationTiming};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::StoreRevision;
use crate::time::Timestamp;

/// Schedules the reads of the store and tracks the watch.
#[derive(Clone, Debug)]
pub(super) struct StoreFollower {
    phase: Phase,
    /// Position among the hosts of the failure domain that watch the store, or `None`
    /// if this host is not one of them.
    position: Option<usize>,
    /// Earliest time of the next read, to delay it after a start or a failure.
    not_before: Timestamp,
    backoff: Duration,
    jitter: Duration,
    /// Last time at which the records held were known to match the store.
    fresh_at: Option<Timestamp>,
    started_at: Timestamp,
    is_unreachable: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Reading { since: Timestamp },
    Watching { heard_at: Timestamp },
}

impl StoreFollower {
    pub(super) fn new(timing: &ReplicationTiming, now: Timestamp, rng: &mut impl Rng) -> Self {
        Self {
            phase: Phase::Idle,
            position: None,
            // Peers are asked first, because a restored store may hold older versions.
            not_before: now + timing.first_read_delay,
            backoff: timing.backoff_min,
            jitter: random_up_to(timing.first_read_delay, rng),
            fresh_at: None,
            started_at: now,
            is_unreachable: false,
        }
    }

    /// Returns the position among the hosts of the failure domain that watch the store.
    pub(super) const fn position(&self) -> Option<usize> {
        self.position
    }

    /// Returns whether this host is watching the store.
    pub(super) const fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching { .. })
    }

    /// Returns the time since the records held were last known to match the store.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        if self.is_watching() {
            return Some(Duration::ZERO);
        }
        self.fresh_at.map(|at| now.since(at))
    }

    /// Sets the position among the hosts of the failure domain that watch the store.
    pub(super) fn set_position(
        &mut self,
        position: Option<usize>,
        now: Timestamp,
    ) -> Vec<ConfigEffect> {
        self.position = position;
        if position.is_some() || !self.is_watching() {
            return Vec::new();
        }
        self.fresh_at = Some(now);
        self.phase = Phase::Idle;
        vec![ConfigEffect::StopWatch]
    }

    /// Records that a peer with the same records confirmed them as of time `at`.
    pub(super) fn confirm_fresh(&mut self, at: Timestamp) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Advances time: handles timeouts and starts a read that is due.
    pub(super) fn tick(
        &mut self,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<ConfigEffect> {
        match self.phase {
            Phase::Reading { since } if now.since(since) > timing.read_timeout => {
                self.read_failed(timing, now, rng, "a read timed out")
            }
            Phase::Watching { heard_at } if now.since(heard_at) > timing.watch_idle_timeout => {
                let mut effects = vec![ConfigEffect::StopWatch];
                effects.extend(self.start_read(now));
                effects
            }
            Phase::Idle if self.is_read_due(timing, now) => self.start_read(now),
            _ => Vec::new(),
        }
    }

    /// Handles a successful read, and starts a watch from its revision if this
    /// host is to watch the store.
    pub(super) fn read_succeeded(
        &mut self,
        revision: StoreRevision,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<ConfigEffect> {
        self.fresh_at = Some(now);
        self.backoff = timing.backoff_min;
        self.jitter = random_up_to(timing.read_jitter, rng);
        let mut effects = Vec::new();
        if std::mem::take(&mut self.is_unreachable) {
            effects.push(store_event(EventKind::StoreReachable, "a read succeeded"));
        }
        if self.position.is_some() {
            self.phase = Phase::Watching { heard_at: now };
            effects.push(ConfigEffect::StartWatch { after: revision });
        } else {
            self.phase = Phase::Idle;
        }
        effects
    }

    /// Handles a failed read or watch; the next read is delayed by a backoff.
    pub(super) fn read_failed(
        &mut self,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
        reason: &str,
    ) -> Vec<ConfigEffect> {
        self.phase = Phase::Idle;
        let wait = self.backoff / 2 + random_up_to(self.backoff, rng);
        self.not_before = now + wait;
        let backoff_max = match self.position {
            Some(_) => timing.watcher_backoff_max,
            None => timing.backoff_max,
        };
        self.backoff = (self.backoff * 2).min(backoff_max);
        if std::mem::replace(&mut self.is_unreachable, true) {
            return Vec::new();
        }
        vec![store_event(EventKind::StoreUnreachable, reason)]
    }

    /// Handles the end of a watch; the next read returns the changes missed.
    pub(super) fn handle_watch_end(&mut self, now: Timestamp) {
        if self.is_watching() {
            self.fresh_at = Some(now);
            self.phase = Phase::Idle;
        }
    }

    /// Records that the watch is alive.
    pub(super) fn note_watch_activity(&mut self, now: Timestamp) {
        if let Phase::Watching { heard_at } = &mut self.phase {
            *heard_at = now;
        }
    }

    fn start_read(&mut self, now: Timestamp) -> Vec<ConfigEffect> {
        self.phase = Phase::Reading { since: now };
        vec![ConfigEffect::ReadStore]
    }

    fn is_read_due(&self, timing: &ReplicationTiming, now: Timestamp) -> bool {
        if now < self.not_before {
            return false;
        }
        if self.position.is_some() {
            return true;
        }
        let due = match self.fresh_at {
            Some(at) => at + timing.stale_after + self.jitter,
            None => self.started_at + timing.first_read_delay + self.jitter,
        };
        now >= due
    }
}

pub(super) fn random_up_to(limit: Duration, rng: &mut impl Rng) -> Duration {
    let micros = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
    Duration::from_micros(rng.random_range(0..=micros))
}

fn store_event(kind: EventKind, reason: &str) -> ConfigEffect {
    ConfigEffect::Emit(EventDraft::new(kind, EventSubject::default(), reason))
}
