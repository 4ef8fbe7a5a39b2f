//! Model engines for tests.

use std::time::Duration;

use geranium_fleet::prelude::*;

/// Creates a model with a group size.
pub fn model(name: &str, group_size: usize, initial_share: f64) -> ModelProfile {
    ModelProfile {
        name: name.into(),
        group_size,
        time_factor: 1.0,
        initial_share,
        load_time: Duration::from_secs(14),
        warm_time: Duration::from_millis(1_500),
    }
}

/// Creates an engine with models.
pub fn profile(models: Vec<ModelProfile>) -> EngineProfile {
    EngineProfile {
        slots: 16,
        models,
        step_ms: 8.0,
        per_request_ms: 0.1,
        prefill_tokens_per_s: 45_000.0,
        prefill_chunk: 2_048.0,
        steps_per_pass: 5,
        mean_prompt_tokens: 1_000.0,
        mean_output_tokens: 150.0,
        max_loads_per_s: 5.0,
        max_concurrent_loads: 7,
        open_time: Duration::from_millis(300),
    }
}
