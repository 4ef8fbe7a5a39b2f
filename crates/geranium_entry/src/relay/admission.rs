//! The limits of a request at the groups of its model, and what is learned from its outcome.

use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::admission::{AdmissionLimits, AdmissionQuery, ModelAdmission, PlaceWait};
use geranium_fleet::dispatch::{CandidateCounts, Choice};
use geranium_fleet::engine_profile::{EngineProfile, ModelProfile};
use geranium_fleet::first_token::FirstTokenEstimate;

use super::active_request::ActiveRequest;
use super::next_hop::NextHop;
use crate::dialect::Dialect;
use crate::metrics::AdmissionLabels;
use crate::state::Core;

impl<D: Dialect> ActiveRequest<D> {
    /// Returns the limits of the request at the groups of its model, or `None` if admission is
    /// not enabled for the model.
    pub(super) fn admission_limits(
        &self,
        core: &mut Core,
        now: Timestamp,
    ) -> Option<AdmissionLimits> {
        let (engine, model) = self.admission_model(core)?;
        let query = self.admission_query(core, engine, model);
        let admission = self.model_admission(core, model);
        if self.tried.is_empty() {
            admission.record_request(&query, now);
        }
        let max_running = self.max_running();
        let mut limits = admission.limits(&query, max_running, now);
        if self.attempts.may_have_run() {
            // An answer that was begun is not given up for requests that may come.
            limits.max_running = max_running;
        }
        Some(limits)
    }

    /// Records at which load an attempt was admitted.
    pub(super) fn record_admission(&self, core: &mut Core, choice: &Choice, now: Timestamp) {
        let model = self.admission_model(core).map(|(_, model)| model);
        let (Some(limits), Some(model)) = (self.admission, model) else {
            return;
        };
        let is_in_time = choice.load < limits.in_time;
        if !is_in_time {
            self.model_admission(core, model).record_contention(now);
        }
        if self.tried.is_empty() {
            self.count_admission(if is_in_time { "in_time" } else { "late" });
        }
    }

    /// Learns the fixed part of the time to the first token, if the first attempt succeeded.
    pub(super) fn record_first_token(&self, hop: &NextHop, took: Duration) {
        let is_first = self.tried.len() == 1 && self.tried_entry_hosts.is_empty();
        let Some(running) = hop.load().filter(|_| is_first) else {
            return;
        };
        let mut core = self.shared.core.borrow_mut();
        if let Some((engine, model)) = self.admission_model(&core) {
            let query = self.admission_query(&core, engine, model);
            self.model_admission(&mut core, model)
                .record_first_token(&query, running, took);
        }
    }

    /// Records a refusal because all groups are full, and returns when to come back if admission
    /// is enabled for the model.
    pub(super) fn record_full(&self, counts: CandidateCounts) -> Option<Duration> {
        let now = self.shared.now();
        let time_left = self.remaining_time();
        let mut core = self.shared.core.borrow_mut();
        let core = &mut *core;
        let (engine, model) = self.admission_model(core)?;
        let wait = PlaceWait {
            groups: counts.full,
            entry_hosts: core.limit_divisor(),
            refusals: self.model_admission(core, model).record_refusal(now),
        };
        self.count_admission("refused");
        Some(wait.retry_after(engine, model, time_left, &mut core.rng))
    }

    /// Returns the engine and the model of the request, if the configuration has priorities or
    /// accounts to admit its requests by and reports of loads pass through leaders.
    fn admission_model(&self, core: &Core) -> Option<(&EngineProfile, &ModelProfile)> {
        let engine = self.service.engine.as_ref()?;
        let model = engine.model(self.model.as_deref()?)?;
        let table = core.route_table.as_ref()?;
        let has_classes = table.deployment().accounts.is_some()
            || table.has_differing_priorities(&self.service.name);
        let is_enabled =
            has_classes && !self.route.objective.is_zero() && core.has_many_entry_hosts();
        is_enabled.then_some((engine, model))
    }

    fn model_admission<'a>(
        &self,
        core: &'a mut Core,
        model: &ModelProfile,
    ) -> &'a mut ModelAdmission {
        core.admissions.model(&self.service.name, &model.name)
    }

    fn admission_query<'a>(
        &'a self,
        core: &Core,
        engine: &'a EngineProfile,
        model: &'a ModelProfile,
    ) -> AdmissionQuery<'a> {
        let peers = core.peer_demand.model(&self.service.name, &model.name);
        AdmissionQuery {
            estimate: FirstTokenEstimate::new(engine, model),
            account: self.account().unwrap_or_default(),
            priority: self.priority,
            peer_priorities: peers.map(|r| r.priorities).unwrap_or_default(),
            objective: self.route.objective,
            prompt_tokens: self.prompt_tokens,
        }
    }

    fn count_admission(&self, decision: &'static str) {
        let labels = AdmissionLabels {
            decision,
            priority: u32::from(self.priority),
        };
        self.shared.metrics.admissions.get_or_create(&labels).inc();
    }
}
