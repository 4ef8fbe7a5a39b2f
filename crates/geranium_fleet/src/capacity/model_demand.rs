//! Number of hosts that a model needs.

use std::time::Duration;

use super::ModelLoad;
use crate::admission::PrioritySet;
use crate::demand::ModelRequests;
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
    /// Number of distinct priorities of requests for the service that are higher than all of those
    /// for the model.
    pub higher_priorities: u32,
}

impl ModelDemand {
    /// Estimates the demand for a model from its requests over all entry hosts.
    ///
    /// If most entry hosts report what their callers ask for (`is_reported`), the arrivals are these;
    /// otherwise they follow from the load of the model's groups. Returns `None` if neither is known.
    /// `priorities` are those of all requests for the service.
    #[must_use]
    pub fn estimate(
        profile: &EngineProfile,
        model: &ModelProfile,
        load: &ModelLoad,
        requests: &ModelRequests,
        priorities: PrioritySet,
        is_reported: bool,
    ) -> Option<Self> {
        let profile = requests.apply(profile);
        let estimate = FirstTokenEstimate::new(&profile, model);
        let arrivals_per_s = if is_reported {
            requests.arrivals_per_s()
        } else {
            rate(load.running, estimate.request_time(load.per_group()?))
        };
        let max_running = requests.objective().map_or_else(
            || f64::from(profile.slots),
            |objective| {
                let prompt_tokens = profile.mean_prompt_tokens;
                let fixed_delay = requests.first_token_delay();
                estimate.max_running_in_time(prompt_tokens, objective, fixed_delay)
            },
        );
        let max_running = max_running.max(1.0);
        let served_per_s = rate(max_running, estimate.request_time(max_running));
        Some(Self {
            arrivals_per_s,
            max_running,
            hosts_needed: arrivals_per_s / served_per_s * model.group_size as f64,
            higher_priorities: requests
                .priorities
                .highest()
                .map_or(0, |p| priorities.higher(p)),
        })
    }
}

/// Returns the requests per second at which `running` requests are present that each stay for
/// `time` (Little's law).
fn rate(running: f64, time: Duration) -> f64 {
    running / time.as_secs_f64().max(1e-3)
}
