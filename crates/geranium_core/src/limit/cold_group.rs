//! Budget of one cold group, kept by its holder.

use std::collections::BTreeMap;

use super::{ColdSettings, CreditRequest};
use crate::group::{ServingGroup, Temperature};
use crate::id::{HostId, Incarnation};
use crate::time::Timestamp;

/// Upper bound on the credits that one user holds.
#[derive(Clone, Debug)]
struct UserCredits {
    held: u32,
    expires: Timestamp,
    generation: u64,
    sequence: u64,
    successes: u32,
    failures: u32,
    marks: u32,
}

/// Requests that may still run without a valid credit.
#[derive(Clone, Copy, Debug)]
enum UncoveredRequests {
    /// The number is unknown until a later load report bounds it.
    Unknown,
    /// At most this many.
    AtMost(u32),
}

/// Budget of one cold group.
#[derive(Clone, Debug)]
pub(super) struct ColdGroup {
    pub(super) generation: u64,
    cold_concurrency: u32,
    warm_concurrency: u32,
    temperature: Temperature,
    budget: u32,
    warm: bool,
    successes: u32,
    users: BTreeMap<(HostId, Incarnation), UserCredits>,
    uncovered: UncoveredRequests,
    uncovered_since: Timestamp,
}

impl ColdGroup {
    /// Creates the budget of a newly discovered group.
    ///
    /// Its load was measured on the current generation, so it includes every request
    /// that may still run on the group.
    pub(super) fn new(now: Timestamp, group: &ServingGroup) -> Self {
        Self {
            generation: group.generation,
            cold_concurrency: group.cold_concurrency,
            warm_concurrency: group.warm_concurrency.max(group.cold_concurrency),
            temperature: group.temperature,
            budget: group.cold_concurrency,
            warm: group.temperature == Temperature::Warm,
            successes: 0,
            users: BTreeMap::new(),
            uncovered: UncoveredRequests::AtMost(group.running + group.waiting),
            uncovered_since: now,
        }
    }

    /// Returns the budget.
    pub(super) fn budget(&self) -> u32 {
        self.budget
    }

    /// Returns whether the group needs no credits.
    pub(super) fn is_warm(&self) -> bool {
        self.warm
    }

    /// Applies a new description of the group.
    pub(super) fn update(&mut self, now: Timestamp, group: &ServingGroup) {
        let restarted = self.generation != group.generation;
        let turned_cold = self.warm && group.temperature == Temperature::Cold;
        let warmed_up =
            self.temperature == Temperature::Cold && group.temperature == Temperature::Warm;
        self.cold_concurrency = group.cold_concurrency;
        self.warm_concurrency = group.warm_concurrency.max(group.cold_concurrency);
        self.temperature = group.temperature;
        self.generation = group.generation;
        if restarted || turned_cold {
            self.turn_cold(now);
        }
        if restarted {
            self.uncovered = UncoveredRequests::AtMost(group.running + group.waiting);
        }
        if group.temperature == Temperature::Warm && (restarted || warmed_up) {
            self.warm = true;
        }
        self.budget = self
            .budget
            .clamp(self.cold_concurrency, self.warm_concurrency);
    }

    /// Resets the group to the cold budget. Requests sent while the group was warm may
    /// still run without credits.
    pub(super) fn turn_cold(&mut self, now: Timestamp) {
        self.budget = self.cold_concurrency;
        self.warm = false;
        self.successes = 0;
        self.uncovered = UncoveredRequests::Unknown;
        self.uncovered_since = now;
    }

    /// Discards all known grants. Requests covered by grants of earlier holders may
    /// still run, so their number is unknown until a load measured at or after
    /// `ready_at` is reported.
    pub(super) fn reset_grants(&mut self, ready_at: Timestamp) {
        self.users.clear();
        self.budget = self.cold_concurrency;
        self.successes = 0;
        self.uncovered = UncoveredRequests::Unknown;
        self.uncovered_since = ready_at;
    }

    /// Records the number of requests that the engine reports, with the time of the
    /// measurement on the holder's clock.
    pub(super) fn observe_load(&mut self, measured_at: Timestamp, load: u32) {
        if measured_at < self.uncovered_since {
            return;
        }
        self.uncovered = match self.uncovered {
            UncoveredRequests::Unknown => UncoveredRequests::AtMost(load),
            UncoveredRequests::AtMost(count) => UncoveredRequests::AtMost(count.min(load)),
        };
    }

    /// Counts credits that expired without renewal as uncovered requests, because
    /// their user may be paused while the engine still runs its requests.
    pub(super) fn expire(&mut self, now: Timestamp, settings: &ColdSettings) {
        if now.since(self.uncovered_since) >= settings.run_limit {
            self.uncovered = UncoveredRequests::AtMost(0);
        }
        let mut lapsed = 0;
        self.users.retain(|_, user| {
            let live = now < user.expires;
            if !live {
                lapsed += user.held;
            }
            live
        });
        if lapsed > 0 {
            if let UncoveredRequests::AtMost(count) = &mut self.uncovered {
                *count += lapsed;
            }
            self.uncovered_since = now;
        }
    }

    /// Returns whether a request is not newer than the last one of its user.
    pub(super) fn is_stale(&self, req: &CreditRequest) -> bool {
        let user = self.users.get(&(req.user.clone(), req.incarnation));
        user.is_some_and(|user| req.sequence <= user.sequence)
    }

    /// Returns whether the user has detected, since its last request, that the group
    /// behaves as if cold.
    pub(super) fn is_newly_marked(&self, req: &CreditRequest) -> bool {
        let user = self.users.get(&(req.user.clone(), req.incarnation));
        let same = user.filter(|user| user.generation == req.generation);
        req.marked && same.is_none_or(|user| req.marks > user.marks)
    }

    /// Answers a user's request; returns the credits that the user holds now.
    ///
    /// With `adopt`, only the credits granted by an earlier holder are renewed.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        req: &CreditRequest,
        adopt: bool,
        settings: &ColdSettings,
    ) -> u32 {
        let key = (req.user.clone(), req.incarnation);
        let known = self.users.remove(&key);
        let (held, successes, failures) = match &known {
            Some(user) if user.generation == req.generation => {
                (user.held, user.successes, user.failures)
            }
            Some(user) => (user.held, 0, 0),
            None if adopt => (req.keep, req.successes, req.failures),
            None => (0, 0, 0),
        };
        self.adjust_budget(
            req.successes.saturating_sub(successes),
            req.failures.saturating_sub(failures),
        );
        let kept = req.keep.min(held);
        let credits = self.credits(kept, req, adopt);
        let user = UserCredits {
            held: credits.max(kept),
            expires: now + settings.holder_lifetime(),
            generation: req.generation,
            sequence: req.sequence,
            successes: req.successes,
            failures: req.failures,
            marks: req.marks,
        };
        self.users.insert(key, user);
        credits
    }

    /// Computes the credits of a user that holds `kept`. The user must not be among
    /// `self.users`.
    fn credits(&self, kept: u32, req: &CreditRequest, adopt: bool) -> u32 {
        if adopt {
            return kept;
        }
        let others: u32 = self.users.values().map(|user| user.held).sum();
        let UncoveredRequests::AtMost(uncovered) = self.uncovered else {
            return kept.min(req.in_use);
        };
        let taken = others + uncovered;
        let room = self.budget.saturating_sub(taken);
        if room <= kept {
            return kept.min(room.max(req.in_use));
        }
        // Grant at most half of the free credits, so that one user does not get all.
        let free = room - kept;
        let missing = req.wanted.saturating_sub(kept);
        kept + missing.min(free.div_ceil(2))
    }

    /// Doubles the budget after as many successes as the current budget; a failure
    /// resets it.
    fn adjust_budget(&mut self, successes: u32, failures: u32) {
        if self.warm {
            return;
        }
        if failures > 0 {
            self.budget = self.cold_concurrency;
            self.successes = 0;
            return;
        }
        self.successes += successes;
        while self.successes >= self.budget.max(1) && self.budget < self.warm_concurrency {
            self.successes -= self.budget;
            self.budget = (self.budget.max(1) * 2).min(self.warm_concurrency);
        }
        let grown = self.budget >= self.warm_concurrency;
        self.warm = grown && self.temperature == Temperature::Warm;
    }
}
