//! Prediction of the time to the first token at a replica group.

use std::time::Duration;

use crate::engine_profile::{EngineProfile, ModelProfile};

/// Passes from the arrival of a request to its first event: the rest of the running pass and
/// the one that reads its prompt, with the steps of the first event.
const PASSES_TO_FIRST_EVENT: f64 = 2.4;
/// Fraction of the objective less the fixed delay that the expected wait may take. The rest is a
/// margin for requests that come together and for prompts of unequal sizes.
const IN_TIME_FRACTION: f64 = 0.75;
/// Maximum fraction of the time that prefill is assumed to take. The waits grow without bound
/// towards 1, where the estimate means nothing any more.
const MAX_PREFILL_FRACTION: f64 = 0.9;

/// Predicts waits at the groups of one model from the published figures of its engine.
///
/// The predictions hold for a group that serves the usual mix of requests, and leave out what
/// does not depend on its load, such as the network and the start of a request.
///
/// # Examples
///
/// ```
/// # use std::time::Duration;
/// # use geranium_fleet::engine_profile::{EngineProfile, ModelProfile};
/// # use geranium_fleet::first_token::FirstTokenEstimate;
/// # fn example(profile: &EngineProfile, model: &ModelProfile) {
/// let estimate = FirstTokenEstimate::new(profile, model);
/// let objective = Duration::from_millis(400);
/// let most = estimate.max_running(profile.mean_prompt_tokens, objective);
/// assert!(estimate.wait(most + 1.0, profile.mean_prompt_tokens) > objective);
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FirstTokenEstimate<'a> {
    profile: &'a EngineProfile,
    time_factor: f64,
}

impl<'a> FirstTokenEstimate<'a> {
    /// Creates the estimate for the groups of a model.
    #[must_use]
    pub const fn new(profile: &'a EngineProfile, model: &ModelProfile) -> Self {
        Self {
            profile,
            time_factor: model.time_factor,
        }
    }

    /// Returns the expected wait for the first event of a request with `prompt_tokens` at a
    /// group that runs `running` requests.
    #[must_use]
    pub fn wait(&self, running: f64, prompt_tokens: f64) -> Duration {
        let pass_ms = f64::from(self.profile.steps_per_pass.max(1)) * self.step_ms(running);
        let own_prefill_ms = self.prefill_ms(prompt_tokens);
        let decode_fraction = 1.0 - self.prefill_fraction(running);
        millis((pass_ms * PASSES_TO_FIRST_EVENT + own_prefill_ms) / decode_fraction)
    }

    /// Returns the number of requests at a group up to which the expected wait of a request
    /// with `prompt_tokens` stays within `limit`; 0 if even an idle group takes longer.
    #[must_use]
    pub fn max_running(&self, prompt_tokens: f64, limit: Duration) -> f64 {
        let fits = |n: &u32| self.wait(f64::from(*n), prompt_tokens) <= limit;
        let most = (1..=self.profile.slots).take_while(fits).last();
        most.map_or(0.0, f64::from)
    }

    /// Returns the number of requests at a group up to which a request with `prompt_tokens` is
    /// expected to meet its objective; 0 if even an idle group takes longer.
    ///
    /// `fixed_delay` is the part of the time to the first token that no load changes.
    #[must_use]
    pub fn max_running_in_time(
        &self,
        prompt_tokens: f64,
        objective: Duration,
        fixed_delay: Duration,
    ) -> f64 {
        let limit = objective.saturating_sub(fixed_delay);
        self.max_running(prompt_tokens, limit.mul_f64(IN_TIME_FRACTION))
    }

    /// Returns whether a group that runs `running` requests has a slot for another one.
    fn has_slot(&self, running: f64) -> bool {
        running < f64::from(self.profile.slots)
    }

    /// Returns whether a group that runs `running` requests has half of its slots free.
    #[must_use]
    pub fn is_half_free(&self, running: f64) -> bool {
        running <= f64::from(self.profile.slots) / 2.0
    }

    /// Returns the expected wait for the first event of a usual request that finds no slot at a
    /// group that runs or queues `running` requests; zero while a slot is free.
    #[must_use]
    pub fn queue_wait(&self, running: f64) -> Duration {
        if self.has_slot(running) {
            return Duration::ZERO;
        }
        let slots = f64::from(self.profile.slots.max(1));
        let queued = running - slots + 1.0;
        let until_slot = self.request_time(slots).mul_f64(queued / slots);
        until_slot + self.wait(slots, self.profile.mean_prompt_tokens)
    }

    /// Returns the mean number of prompt tokens of a request.
    #[must_use]
    pub const fn mean_prompt_tokens(&self) -> f64 {
        self.profile.mean_prompt_tokens
    }

    /// Returns the mean time that a request stays at a group that runs `running` requests.
    #[must_use]
    pub fn request_time(&self, running: f64) -> Duration {
        let decode_ms = self.profile.mean_output_tokens * self.step_ms(running);
        let decode_fraction = 1.0 - self.prefill_fraction(running);
        let prefill_ms = self.prefill_ms(self.profile.mean_prompt_tokens);
        millis(prefill_ms + decode_ms / decode_fraction)
    }

    /// Returns the fraction of its time that a group spends on prompts while it runs `running`
    /// requests, from the rate at which it has to replace those that finish.
    fn prefill_fraction(&self, running: f64) -> f64 {
        let decode_ms = (self.profile.mean_output_tokens * self.step_ms(running)).max(1.0);
        let prefill_ms = self.prefill_ms(self.profile.mean_prompt_tokens);
        let ratio = running.min(f64::from(self.profile.slots)) * prefill_ms / decode_ms;
        (ratio / (1.0 + ratio)).min(MAX_PREFILL_FRACTION)
    }

    /// Returns the duration of a step, in milliseconds, without the prompts read in it.
    fn step_ms(&self, running: f64) -> f64 {
        let batch = running.clamp(0.0, f64::from(self.profile.slots));
        self.time_factor * (self.profile.step_ms + batch * self.profile.per_request_ms)
    }

    fn prefill_ms(&self, prompt_tokens: f64) -> f64 {
        let per_s = self.profile.prefill_tokens_per_s.max(1.0);
        self.time_factor * prompt_tokens / per_s * 1_000.0
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1_000.0)
}
