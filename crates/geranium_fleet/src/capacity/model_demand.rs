//! Number of hosts that a model needs.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::{ModelLoad, RequestMix};
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::first_token::FirstTokenEstimate;

/// Demand for one model and the capacity that serves it in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelDemand {
    /// Requests per second.
    pub arrivals_per_s: f64,
    /// Maximum number of requests at a group for which the objective is met.
    pub max_running: f64,
    /// Hosts whose groups serve the arrivals in time; not a whole number of groups.
    pub hosts_needed: f64,
}

impl ModelDemand {
    /// Estimates the demand for a model from the load of its groups; `None` if no load is known.
    ///
    /// `fixed_delay` is the part of the time to the first token that no load changes.
    #[must_use]
    pub fn estimate(
        profile: &EngineProfile,
        model: &ModelProfile,
        load: &ModelLoad,
        mix: &RequestMix,
        fixed_delay: Duration,
        now: Timestamp,
    ) -> Option<Self> {
        let per_group = load.per_group()?;
        let profile = mix.apply(profile);
        let estimate = FirstTokenEstimate::new(&profile, model);
        let arrivals_per_s = rate(load.running, estimate.request_time(per_group));
        let max_running = mix.objective(now).map_or_else(
            || f64::from(profile.slots),
            |objective| {
                let prompt_tokens = profile.mean_prompt_tokens;
                estimate.max_running_in_time(prompt_tokens, objective, fixed_delay)
            },
        );
        let max_running = max_running.max(1.0);
        let served_per_s = rate(max_running, estimate.request_time(max_running));
        Some(Self {
            arrivals_per_s,
            max_running,
            hosts_needed: arrivals_per_s / served_per_s * model.group_size as f64,
        })
    }
}

/// Returns the requests per second at which `running` requests are present that each stay for
/// `time` (Little's law).
fn rate(running: f64, time: Duration) -> f64 {
    running / time.as_secs_f64().max(1e-3)
}
