//! When a host reads the store and when it watches it.

use std::time::Duration;

use rand::Rng;

use super::{ConfigEffect, ReplicationTiming};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::StoreRevision;
use crate::time::Timestamp;

/// When a host reads the store and when it watches it.
#[derive(Clone, Debug)]
pub(super) struct StoreFollower {
    phase: Phase,
    /// Place among the hosts of the domain that watch; absent for all others.
    position: Option<usize>,
    /// No read before this time, because the last one failed.
    not_before: Timestamp,
    backoff: Duration,
    jitter: Duration,
    /// Time at which what is held was last known to be what the store holds.
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
            // The peers are asked first: a restored store may know less than they do.
            not_before: now + timing.first_read_delay,
            backoff: timing.backoff_min,
            jitter: random_up_to(timing.first_read_delay, rng),
            fresh_at: None,
            started_at: now,
            is_unreachable: false,
        }
    }

    /// Returns the place among the hosts of the domain that watch.
    pub(super) const fn position(&self) -> Option<usize> {
        self.position
    }

    /// Returns whether this host watches the store now.
    pub(super) const fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching { .. })
    }

    /// Returns the time since what is held was known to be what the store holds.
    pub(super) fn age(&self, now: Timestamp) -> Option<Duration> {
        if self.is_watching() {
            return Some(Duration::ZERO);
        }
        self.fresh_at.map(|at| now.since(at))
    }

    /// Sets the place among the hosts of the domain that watch.
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

    /// Takes note that a peer vouches for what is held here.
    pub(super) fn confirm_fresh(&mut self, at: Timestamp) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Lets time pass; returns a read that is due.
    pub(super) fn tick(
        &mut self,
        timing: &ReplicationTiming,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<ConfigEffect> {
        match self.phase {
            Phase::Reading { since } if now.since(since) > timing.read_timeout => {
                self.read_failed(timing, now, rng, "a read got no answer")
            }
            Phase::Watching { heard_at } if now.since(heard_at) > timing.watch_idle_timeout => {
                let mut effects = vec![ConfigEffect::StopWatch];
                effects.extend(self.read(now));
                effects
            }
            Phase::Idle if self.is_read_due(timing, now) => self.read(now),
            _ => Vec::new(),
        }
    }

    /// Takes note of a read that succeeded; watches from there if it is a duty.
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

    /// Takes note of a read or a watch that failed.
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

    /// Takes note of a watch that ended; the next read tells what was missed.
    pub(super) fn handle_watch_end(&mut self, now: Timestamp) {
        if self.is_watching() {
            self.fresh_at = Some(now);
            self.phase = Phase::Idle;
        }
    }

    /// Takes note of a sign of life of the watch.
    pub(super) fn note_watch_activity(&mut self, now: Timestamp) {
        if let Phase::Watching { heard_at } = &mut self.phase {
            *heard_at = now;
        }
    }

    fn read(&mut self, now: Timestamp) -> Vec<ConfigEffect> {
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
