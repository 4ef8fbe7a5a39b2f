//! Sizes and objectives of the recent requests for a model.

use std::time::Duration;

use geranium_core::time::Timestamp;

use crate::decay::Decay;
use crate::demand::ModelRequests;

/// Time after which a past request counts half. One of many entry hosts sees a request for a
/// model only every few seconds.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Time after which the objective of a route without requests no longer counts.
const OBJECTIVE_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of distinct objectives that are kept.
const MAX_OBJECTIVES: usize = 16;
/// Number of tokens above which the size of a request is impossible.
const MAX_TOKENS: f64 = 10_000_000.0;

/// Means of the requests for one model that an entry host received, with exponential decay.
#[derive(Clone, Debug)]
pub struct RequestMix {
    requests: f64,
    prompt_tokens: f64,
    output_tokens: f64,
    objectives: Vec<(Duration, Timestamp)>,
    decay: Decay,
}

impl Default for RequestMix {
    fn default() -> Self {
        Self {
            requests: 0.0,
            prompt_tokens: 0.0,
            output_tokens: 0.0,
            objectives: Vec::new(),
            decay: Decay::new(HALF_LIFE),
        }
    }
}

impl RequestMix {
    /// Records a request with its tokens and the objective of its route; a zero objective stands
    /// for none.
    ///
    /// Returns `false` and records nothing if a number of tokens is impossible.
    pub fn record(
        &mut self,
        prompt_tokens: f64,
        output_tokens: f64,
        objective: Duration,
        now: Timestamp,
    ) -> bool {
        if !Self::are_possible(prompt_tokens, output_tokens) {
            return false;
        }
        self.decay(now);
        self.requests += 1.0;
        self.prompt_tokens += prompt_tokens;
        self.output_tokens += output_tokens;
        self.record_objective(objective, now);
        true
    }

    /// Returns whether a request may have these numbers of tokens.
    pub(crate) fn are_possible(prompt_tokens: f64, output_tokens: f64) -> bool {
        let possible = 0.0..=MAX_TOKENS;
        possible.contains(&prompt_tokens) && possible.contains(&output_tokens)
    }

    fn record_objective(&mut self, objective: Duration, now: Timestamp) {
        if objective.is_zero() {
            return;
        }
        self.objectives
            .retain(|(o, at)| *o != objective && now.since(*at) < OBJECTIVE_RETENTION);
        self.objectives.push((objective, now));
        if self.objectives.len() > MAX_OBJECTIVES {
            // Only the tightest one matters.
            self.objectives.sort();
            self.objectives.truncate(MAX_OBJECTIVES);
        }
    }

    fn decay(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.factor(now) else {
            return;
        };
        self.requests *= factor;
        self.prompt_tokens *= factor;
        self.output_tokens *= factor;
    }

    /// Returns the tightest objective of the routes that were seen recently.
    #[must_use]
    pub fn objective(&self, now: Timestamp) -> Option<Duration> {
        let recent = self.objectives.iter();
        let recent = recent.filter(|(_, at)| now.since(*at) < OBJECTIVE_RETENTION);
        recent.map(|(objective, _)| *objective).min()
    }

    /// Adds the sizes of these requests, and the tightest objective, to those of other entry hosts.
    pub fn add_to(&self, total: &mut ModelRequests, now: Timestamp) {
        total.add(&ModelRequests {
            requests: self.requests,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            objective_ms: self.objective(now).map(objective_ms),
            ..ModelRequests::default()
        });
    }
}

/// Returns an objective in whole milliseconds, at least 1.
fn objective_ms(objective: Duration) -> u32 {
    u32::try_from(objective.as_millis())
        .unwrap_or(u32::MAX)
        .max(1)
}
