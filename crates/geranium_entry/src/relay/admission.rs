//! The limits of a request at the groups of its model, and what is learned from its outcome.

use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::admission::{AdmissionLimits, BoundQuery, ModelAdmission, PlaceWait};
use geranium_fleet::dispatch::{Choice, NoHost};
use geranium_fleet::engine_profile::{EngineProfile, ModelProfile};
use geranium_fleet::exchange::FULL_MESH_LIMIT;
use geranium_fleet::first_token::FirstTokenEstimate;

use super::active_request::ActiveRequest;
use super::next_hop::NextHop;
use super::refusal::RefusalReason;
use crate::dialect::Dialect;
use crate::metrics::AdmissionLabels;
use crate::state::Core;

impl<D: Dialect> ActiveRequest<D> {
    /// Returns the limits of the request at the groups of its model, or `None` if the
    /// configuration orders no requests for the model.
    pub(super) fn admission_limits(
        &self,
        core: &mut Core,
        max_running: f64,
        now: Timestamp,
    ) -> Option<AdmissionLimits> {
        let (engine, model) = self.ordered_model(core)?;
        let query = self.bound_query(engine, model);
        let admission = self.model_admission(core, model);
        if self.tried.is_empty() {
            admission.record_request(&query, now);
        }
        Some(admission.limits(&query, max_running, now))
    }

    /// Records at which load an attempt was admitted.
    pub(super) fn record_admission(
        &self,
        limits: AdmissionLimits,
        choice: &Choice,
        now: Timestamp,
    ) {
        let is_in_time = choice.load < limits.in_time;
        if !is_in_time {
            let mut core = self.shared.core.borrow_mut();
            if let Some((_, model)) = self.ordered_model(&core) {
                self.model_admission(&mut core, model)
                    .record_contention(now);
            }
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
        if let Some((engine, model)) = self.ordered_model(&core) {
            let query = self.bound_query(engine, model);
            self.model_admission(&mut core, model)
                .record_first_token(&query, running, took);
        }
    }

    /// Returns the time after which a retry by the caller may succeed, if ever.
    pub(super) fn retry_after(&self, reason: RefusalReason) -> Option<Duration> {
        let now = self.shared.now();
        let full = reason == RefusalReason::NoHost(NoHost::Full);
        let until_place = if full { self.place_wait(now) } else { None };
        until_place.or_else(|| reason.retry_after(now))
    }

    /// Records a refusal because all groups are full, and returns when to come back.
    fn place_wait(&self, now: Timestamp) -> Option<Duration> {
        let time_left = self.remaining_time();
        let (counts, _) = self.count_candidates(now);
        let mut core = self.shared.core.borrow_mut();
        let core = &mut *core;
        let (engine, model) = self.ordered_model(core)?;
        let wait = PlaceWait {
            groups: counts.full,
            entry_hosts: core.limit_divisor(),
            refusals: self.model_admission(core, model).record_refusal(now),
        };
        self.count_admission("refused");
        Some(wait.retry_after(engine, model, time_left, &mut core.rng))
    }

    /// Returns the engine and the model of the request, if requests for it are ordered by
    /// priority or account and the loads of its groups take the way through leaders.
    fn ordered_model(&self, core: &Core) -> Option<(&EngineProfile, &ModelProfile)> {
        let engine = self.service.engine.as_ref()?;
        let model = engine.model(self.model.as_deref()?)?;
        let table = core.route_table.as_ref()?;
        let is_ordered = table.deployment().accounts.is_some()
            || table.has_differing_priorities(&self.service.name);
        let is_enabled =
            is_ordered && !self.route.objective.is_zero() && core.limit_divisor() > FULL_MESH_LIMIT;
        is_enabled.then_some((engine, model))
    }

    fn model_admission<'a>(
        &self,
        core: &'a mut Core,
        model: &ModelProfile,
    ) -> &'a mut ModelAdmission {
        core.admissions.model(&self.service.name, &model.name)
    }

    fn bound_query<'a>(
        &'a self,
        engine: &'a EngineProfile,
        model: &'a ModelProfile,
    ) -> BoundQuery<'a> {
        BoundQuery {
            estimate: FirstTokenEstimate::new(engine, model),
            account: self.account().unwrap_or_default(),
            priority: self.priority,
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
