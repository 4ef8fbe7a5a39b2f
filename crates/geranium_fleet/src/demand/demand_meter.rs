//! Observed work of each model.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use super::{ModelRequests, RequestRate};
use crate::capacity::RequestMix;
use crate::decay::Decay;
use crate::engine_profile::EngineProfile;

/// Time after which past work counts half.
const HALF_LIFE: Duration = Duration::from_secs(8);

/// Work of the models of one service, in host milliseconds, with exponential decay.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    work: HashMap<Arc<str>, f64>,
    mixes: HashMap<Arc<str>, RequestMix>,
    rates: HashMap<Arc<str>, RequestRate>,
    decay: Decay,
    requests: u64,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            work: HashMap::default(),
            mixes: HashMap::default(),
            rates: HashMap::default(),
            decay: Decay::new(HALF_LIFE),
            requests: 0,
        }
    }
}

impl DemandMeter {
    /// Records a request for a model with its prompt and output tokens and the objective of its
    /// route.
    ///
    /// Returns `false` and records nothing if a number of tokens is impossible. A request for a
    /// model that is not in the profile is not recorded either, but returns `true`.
    pub fn record(
        &mut self,
        profile: &EngineProfile,
        model: &str,
        prompt_tokens: f64,
        output_tokens: f64,
        objective: Duration,
        now: Timestamp,
    ) -> bool {
        let Some(model) = profile.model(model) else {
            return true;
        };
        if !RequestMix::are_possible(prompt_tokens, output_tokens) {
            return false;
        }
        self.decay(now);
        self.requests += 1;
        let work = profile.work_ms(prompt_tokens, output_tokens)
            * model.time_factor
            * model.group_size as f64;
        *self.work.entry(model.name.clone()).or_default() += work;
        let rate = self.rates.entry(model.name.clone()).or_default();
        rate.record_request(now);
        let mix = self.mixes.entry(model.name.clone()).or_default();
        mix.record(prompt_tokens, output_tokens, objective, now)
    }

    /// Records that a request for a model was refused and has not run.
    pub fn record_refusal(&mut self, model: &str, now: Timestamp) {
        if let Some(rate) = self.rates.get_mut(model) {
            rate.record_refusal(now);
        }
    }

    /// Returns the recent requests for each model, as reported to other entry hosts.
    pub fn report(&mut self, service: &Arc<str>, now: Timestamp) -> Vec<ModelRequests> {
        let rates = self.rates.iter_mut();
        let reports = rates.map(|(model, rate)| {
            let (asked_per_s, refused_per_s) = rate.per_s(now);
            let mut requests = ModelRequests {
                service: service.clone(),
                model: model.clone(),
                asked_per_s,
                refused_per_s,
                ..ModelRequests::default()
            };
            if let Some(mix) = self.mixes.get(model) {
                mix.add_to(&mut requests, now);
            }
            requests
        });
        reports.collect()
    }

    /// Returns the number of requests recorded since the start.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns each model's share of the work, in the order of the profile.
    ///
    /// The published shares count as much as `prior` host milliseconds of work.
    #[must_use]
    pub fn shares(&self, profile: &EngineProfile, prior: f64) -> Vec<f64> {
        let published_total: f64 = profile.models.iter().map(|m| m.initial_share).sum();
        let work_by_model: Vec<f64> = profile
            .models
            .iter()
            .map(|m| {
                let observed = self.work.get(&m.name).copied().unwrap_or(0.0);
                observed + prior * m.initial_share / published_total.max(f64::MIN_POSITIVE)
            })
            .collect();
        let total: f64 = work_by_model.iter().sum();
        work_by_model
            .iter()
            .map(|w| w / total.max(f64::MIN_POSITIVE))
            .collect()
    }

    fn decay(&mut self, now: Timestamp) {
        let Some(factor) = self.decay.factor(now) else {
            return;
        };
        for work in self.work.values_mut() {
            *work *= factor;
        }
    }
}
