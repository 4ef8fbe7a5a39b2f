//! Requests for one model at one or several entry hosts.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::admission::{ModelAdmission, PrioritySet};
use crate::engine_profile::EngineProfile;

/// Largest number in a report that is possible.
const MAX_VALUE: f64 = 1e12;
/// Fraction of the refused requests whose callers come back and are counted again.
const RETURNING_FRACTION: f64 = 0.5;
/// Number of requests as which the published means count.
const PUBLISHED_WEIGHT: f64 = 4.0;

/// Requests of callers for one model of a service, at one or several entry hosts.
///
/// All numbers but the objective add up over entry hosts, and so do the priorities as a set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ModelRequests {
    /// Service.
    pub service: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Requests per second, served or not; a caller that comes back counts again.
    pub asked_per_s: f64,
    /// Requests per second that were refused and have not run.
    pub refused_per_s: f64,
    /// Number of recent requests in the sums of tokens.
    pub requests: f64,
    /// Prompt tokens of these requests.
    pub prompt_tokens: f64,
    /// Output tokens of these requests, as expected when they arrived.
    pub output_tokens: f64,
    /// Tightest latency objective of recent requests, in milliseconds, if any has one.
    pub objective_ms: Option<u32>,
    /// Priorities of recent requests.
    #[serde(default)]
    pub priorities: PrioritySet,
    /// Number of recent first tokens in the sum of their delays.
    pub first_tokens: f64,
    /// Sum of the parts of the times to these first tokens that no load changes, in milliseconds.
    pub first_token_delay_ms: f64,
}

impl ModelRequests {
    /// Adds the requests of other entry hosts for the same model.
    pub fn add(&mut self, other: &Self) {
        self.asked_per_s += other.asked_per_s;
        self.refused_per_s += other.refused_per_s;
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.output_tokens += other.output_tokens;
        let objectives = [self.objective_ms, other.objective_ms];
        self.objective_ms = objectives.into_iter().flatten().min();
        self.priorities = self.priorities | other.priorities;
        self.first_tokens += other.first_tokens;
        self.first_token_delay_ms += other.first_token_delay_ms;
    }

    /// Returns the requests per second, with those whose callers come back after a refusal counted
    /// once.
    #[must_use]
    pub fn arrivals_per_s(&self) -> f64 {
        (self.asked_per_s - self.refused_per_s * RETURNING_FRACTION).max(0.0)
    }

    /// Adds what the admission of an entry host has learned of its requests.
    pub fn add_learned(&mut self, admission: &ModelAdmission, now: Timestamp) {
        let delay = admission.first_token_delay();
        self.priorities = self.priorities | admission.seen_priorities(now);
        self.first_tokens += delay.weight();
        self.first_token_delay_ms += delay.weight() * delay.get().as_secs_f64() * 1_000.0;
    }

    /// Returns whether all numbers are possible.
    #[must_use]
    pub fn is_possible(&self) -> bool {
        let numbers = [
            self.asked_per_s,
            self.refused_per_s,
            self.requests,
            self.prompt_tokens,
            self.output_tokens,
            self.first_tokens,
            self.first_token_delay_ms,
        ];
        numbers.iter().all(|n| (0.0..=MAX_VALUE).contains(n))
    }

    /// Returns the tightest latency objective of recent requests.
    #[must_use]
    pub fn objective(&self) -> Option<Duration> {
        let ms = self.objective_ms?;
        Some(Duration::from_millis(ms.into()))
    }

    /// Returns the part of the time to the first token that no load changes; zero until it is
    /// learned.
    #[must_use]
    pub fn first_token_delay(&self) -> Duration {
        let ms = self.first_token_delay_ms / self.first_tokens.max(1.0);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Returns the engine's profile with the mean sizes of these requests.
    #[must_use]
    pub fn apply(&self, profile: &EngineProfile) -> EngineProfile {
        let mean = |sum: f64, published: f64| {
            (sum + published * PUBLISHED_WEIGHT) / (self.requests + PUBLISHED_WEIGHT)
        };
        EngineProfile {
            mean_prompt_tokens: mean(self.prompt_tokens, profile.mean_prompt_tokens),
            mean_output_tokens: mean(self.output_tokens, profile.mean_output_tokens),
            ..profile.clone()
        }
    }
}
