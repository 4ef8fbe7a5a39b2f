//! Admission to the groups of one model.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::{
    AdmissionLimits, AdmissionQuery, LOWEST_PRIORITY, MAX_RESERVE_PERCENT,
    PRIORITY_RESERVE_PERCENT, PrioritySet, RecentRequests, SeenPriorities,
};
use crate::first_token_delay::FirstTokenDelay;
use crate::rate_limiter::RateLimiter;

/// Percentage of the places that an account above its share leaves free for the others; less
/// than for a priority, as priority comes before shares.
const ACCOUNT_RESERVE_PERCENT: u32 = 14;
/// Time for which a model counts as contended after a request was sent to a group where it is
/// expected to be late, or was refused.
const CONTENTION_PERIOD: Duration = Duration::from_secs(1);
/// Window in which refusals are counted to tell callers when to come back.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of prompt tokens that is taken as stated.
const MAX_PROMPT_TOKENS: f64 = 1e7;

/// What an entry host knows of the recent requests for one model of a service.
#[derive(Clone, Debug)]
pub struct ModelAdmission {
    recent: RecentRequests,
    priorities: SeenPriorities,
    delay: FirstTokenDelay,
    contended_at: Option<Timestamp>,
    refusals: RateLimiter,
}

impl Default for ModelAdmission {
    fn default() -> Self {
        Self {
            recent: RecentRequests::default(),
            priorities: SeenPriorities::default(),
            delay: FirstTokenDelay::default(),
            contended_at: None,
            refusals: RateLimiter::new(REFUSAL_WINDOW),
        }
    }
}

impl ModelAdmission {
    /// Records the arrival of a request.
    pub fn record_request(&mut self, query: &AdmissionQuery<'_>, now: Timestamp) {
        self.recent.record(query.account, now);
        let priority = query.priority.min(LOWEST_PRIORITY);
        self.priorities.record(priority, now);
    }

    /// Returns the limits of a request at groups that are full at `max_running` requests; both
    /// are at least 1.
    #[must_use]
    pub fn limits(
        &self,
        query: &AdmissionQuery<'_>,
        max_running: f64,
        now: Timestamp,
    ) -> AdmissionLimits {
        let in_time = query.estimate.max_running_in_time(
            known_prompt_tokens(query),
            query.objective,
            self.delay.get(),
        );
        let left = f64::from(100 - self.reserve_percent(query, now));
        AdmissionLimits {
            in_time: in_time.max(1.0),
            // Rounded down, so that few places leave a whole one free as well.
            max_running: (max_running * left / 100.0).floor().max(1.0),
        }
    }

    /// Returns the percentage of the places that a request leaves free for others.
    fn reserve_percent(&self, query: &AdmissionQuery<'_>, now: Timestamp) -> u32 {
        let priority = query.priority.min(LOWEST_PRIORITY);
        let seen = self.seen_priorities(now) | query.peer_priorities;
        let for_urgent = seen.higher(priority) * PRIORITY_RESERVE_PERCENT;
        let is_behind = self.is_contended(now) && self.recent.exceeds_share(query.account);
        let for_others = if is_behind {
            ACCOUNT_RESERVE_PERCENT
        } else {
            0
        };
        (for_urgent + for_others).min(MAX_RESERVE_PERCENT)
    }

    /// Returns the priorities of the recent requests of this entry host.
    #[must_use]
    pub fn seen_priorities(&self, now: Timestamp) -> PrioritySet {
        self.priorities.recent(now)
    }

    /// Returns the part of the time to the first token that does not depend on the load.
    #[must_use]
    pub const fn first_token_delay(&self) -> FirstTokenDelay {
        self.delay
    }

    /// Records the time to the first token of a request that was sent to a group with a known
    /// load of `running` requests.
    ///
    /// Times at a group with less than half of its slots free are left out: they depend on its load
    /// above all, and on requests there that are not known yet.
    pub fn record_first_token(&mut self, query: &AdmissionQuery<'_>, running: f64, took: Duration) {
        if query.estimate.is_half_free(running) {
            let predicted = query.estimate.wait(running, known_prompt_tokens(query));
            self.delay.record(took, predicted);
        }
    }

    /// Records that a request was sent where it is expected to be late.
    pub fn record_contention(&mut self, now: Timestamp) {
        self.contended_at = Some(now);
    }

    /// Records a refusal because all groups were full; returns the number of refusals of the
    /// last second, including this one.
    pub fn record_refusal(&mut self, now: Timestamp) -> usize {
        self.record_contention(now);
        self.refusals.try_acquire(usize::MAX, now);
        self.refusals.used(now)
    }

    fn is_contended(&self, now: Timestamp) -> bool {
        let is_recent = |at| now.since(at) <= CONTENTION_PERIOD;
        self.contended_at.is_some_and(is_recent)
    }
}

/// Returns the stated number of prompt tokens, or the mean if it is unknown or impossible.
fn known_prompt_tokens(query: &AdmissionQuery<'_>) -> f64 {
    let stated = query.prompt_tokens;
    if stated > 0.0 && stated.is_finite() {
        stated.min(MAX_PROMPT_TOKENS)
    } else {
        query.estimate.mean_prompt_tokens()
    }
}
