//! Published performance figures of a model engine.

use std::sync::Arc;
use std::time::Duration;

/// A model that the replica groups of a service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name.
    pub name: Arc<str>,
    /// Number of hosts in one replica group.
    pub group_size: usize,
    /// Factor on all times of a group.
    pub time_factor: f64,
    /// Share of the work that is assumed at the start.
    pub initial_share: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join a group with weights that are staged on the host.
    pub warm_time: Duration,
}

/// Performance figures of a model engine; times apply to a time factor of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// Models in the operator's order.
    pub models: Vec<ModelProfile>,
    /// Duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub per_request_ms: f64,
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of prompt tokens processed in one step.
    pub prefill_chunk: f64,
    /// Number of steps in a pass that includes decoding requests.
    pub steps_per_pass: u32,
    /// Mean number of prompt tokens of a request.
    pub mean_prompt_tokens: f64,
    /// Mean number of output tokens of a request.
    pub mean_output_tokens: f64,
    /// Number of loads from the weight store that may start per second.
    pub max_loads_per_s: f64,
    /// Number of concurrent loads above which each load takes longer.
    pub max_concurrent_loads: usize,
    /// Time from the order to open a group until the group serves.
    pub open_time: Duration,
}

impl EngineProfile {
    /// Returns a model by its name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelProfile> {
        self.models.iter().find(|m| &*m.name == name)
    }

    /// Returns the index of a model in the operator's order.
    #[must_use]
    pub fn model_index(&self, name: &str) -> Option<usize> {
        self.models.iter().position(|m| &*m.name == name)
    }

    /// Returns the maximum duration of a pass in milliseconds: all slots decode while each
    /// step also processes a full chunk of prompt tokens.
    #[must_use]
    pub fn max_pass_ms(&self) -> f64 {
        let decode_ms = self.step_ms + f64::from(self.slots) * self.per_request_ms;
        let prefill_ms = self.prefill_chunk / self.prefill_tokens_per_s * 1_000.0;
        f64::from(self.steps_per_pass.max(1)) * (decode_ms + prefill_ms)
    }

    /// Returns the maximum number of requests at a group, running or queued, for which the
    /// last one starts within `wait`.
    #[must_use]
    pub fn max_requests_per_group(&self, time_factor: f64, wait: Duration) -> f64 {
        let completion_interval_ms = self.completion_interval_ms(time_factor);
        let queued = wait.as_secs_f64() * 1_000.0 / completion_interval_ms;
        f64::from(self.slots) + queued.floor()
    }

    /// Returns the mean time between two completions at a group with a full batch, in
    /// milliseconds; at least 1.
    #[must_use]
    pub fn completion_interval_ms(&self, time_factor: f64) -> f64 {
        let slots = f64::from(self.slots);
        let step_ms = (self.step_ms + slots * self.per_request_ms) * time_factor;
        (self.mean_output_tokens * step_ms / slots).max(1.0)
    }

    /// Returns the time that a group with a full batch spends on one request, in
    /// milliseconds.
    #[must_use]
    pub fn work_ms(&self, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let prefill_ms = prompt_tokens / self.prefill_tokens_per_s * 1_000.0;
        let per_token_ms = self.step_ms / f64::from(self.slots.max(1)) + self.per_request_ms;
        prefill_ms + output_tokens * per_token_ms
    }
}
