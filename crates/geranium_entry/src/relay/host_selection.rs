//! Selection of the backend server for the next attempt of a request.

use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::dispatch::{CandidateCounts, DispatchCriteria, NoHost};
use geranium_fleet::first_token::FirstTokenEstimate;

use super::active_request::ActiveRequest;
use super::host_slot::{HostSlot, SelectedHop};
use super::next_hop::NextHop;
use crate::dialect::Dialect;
use crate::metrics::CauseLabel;
use crate::state::Core;

/// Fraction of the connection limit of a backend server that is used; the limit applies to
/// all its clients together.
const MAX_CONNECTIONS_FRACTION: f64 = 0.9;
/// Fraction of the latency objective that a request may spend in the queue of a group.
const QUEUE_WAIT_FRACTION: f64 = 0.5;

impl<D: Dialect> ActiveRequest<D> {
    /// Selects the receiver of the next attempt: a backend server, or another entry host if
    /// this one has no path to the servers.
    pub(super) fn select_hop(&mut self) -> Result<SelectedHop<D>, NoHost> {
        if self.has_to_forward() {
            return self.select_entry_host();
        }
        self.select_host()
    }

    fn select_entry_host(&mut self) -> Result<SelectedHop<D>, NoHost> {
        self.forward_next = false;
        let target = self.choose_target().ok_or(NoHost::CutOff)?;
        // Without a run before, the other entry host sends the request for the first time.
        let cause = self.retry_cause.take();
        if let Some(cause) = cause.filter(|_| self.attempts.may_have_run()) {
            self.spend_retry(cause, self.shared.now());
        }
        self.shared.metrics.forwards.inc();
        self.tried_entry_hosts.push(target.name.clone());
        self.search_began.get_or_insert(self.shared.now());
        self.sent_counts.clear();
        let slot = HostSlot::new(&self.shared, &target.name, self.prompt_tokens);
        let hop = NextHop::EntryHost(target);
        Ok(SelectedHop { hop, slot })
    }

    /// Selects the backend server for the next attempt. An attempt after a failure consumes a
    /// retry of the shared budget.
    fn select_host(&mut self) -> Result<SelectedHop<D>, NoHost> {
        let now = self.shared.now();
        let choice = {
            let shared = self.shared.clone();
            let core = &mut *shared.core.borrow_mut();
            self.admission = self.admission_limits(core, now);
            let criteria = self.dispatch_criteria(core);
            let choice = core
                .dispatcher
                .choose(&core.directory, &criteria, now, &mut core.rng)?;
            self.record_admission(core, &choice, now);
            choice
        };
        if let Some(cause) = self.retry_cause.take() {
            self.spend_retry(cause, now);
        }
        let metrics = &self.shared.metrics;
        if self.tried.is_empty() {
            let wait = now.since(self.arrived);
            metrics.dispatch_wait.observe(wait.as_secs_f64());
        }
        if choice.host.cold_until.is_some_and(|until| now < until) {
            metrics.cold_requests.inc();
        }
        self.tried.push(choice.host.id.clone());
        self.sent_counts = {
            let crashes = &self.shared.core.borrow().crashes;
            crashes.counts(&self.crash_subjects)
        };
        let slot = HostSlot::new(&self.shared, &choice.host.id, self.prompt_tokens);
        let hop = NextHop::Server(Box::new(choice));
        Ok(SelectedHop { hop, slot })
    }

    /// Returns the number of retries that the shared budget currently allows.
    pub(super) fn retries_left(&self) -> u32 {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        core.budget(&self.service.name, &self.shared.bounds.get())
            .remaining(now)
    }

    fn spend_retry(&self, cause: &'static str, now: Timestamp) {
        let mut core = self.shared.core.borrow_mut();
        let budget = core.budget(&self.service.name, &self.shared.bounds.get());
        if !budget.try_retry(now) {
            log::error!(request = self.id(), cause = cause; "retry exceeds the shared budget");
        }
        let retries = &self.shared.metrics.retries;
        retries.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Logs why no backend server was selected.
    pub(super) fn log_no_host(&self, why: NoHost, counts: CandidateCounts) {
        let now = self.shared.now();
        log::info!(
            request = self.id(), route:% = self.route.name,
            account = self.account(), model = self.model.as_deref(), why = why.as_str(), left_out:? = counts, most_running = self.full_at(),
            directory_age_ms = now.since(self.shared.last_store_contact.get()).as_millis() as u64;
            "no backend server takes the request"
        );
    }

    /// Counts the backend servers that serve the request and why they are not candidates.
    pub(super) fn count_candidates(&self) -> CandidateCounts {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let core = &mut *core;
        let criteria = self.dispatch_criteria(core);
        core.dispatcher
            .count_candidates(&core.directory, &criteria, now)
    }

    fn dispatch_criteria(&self, core: &Core) -> DispatchCriteria<'_> {
        DispatchCriteria {
            service: &self.service.name,
            model: self.service.engine.as_ref().and(self.model.as_deref()),
            tried: &self.tried,
            cold_limit: core.cold_limit(&self.service, &self.shared.bounds.get()),
            entry_hosts: core.limit_divisor(),
            max_running: self.full_at(),
            request_time: self.request_time(),
        }
    }

    /// Returns the mean time that a request for the model stays at a group with a half-full
    /// batch.
    fn request_time(&self) -> Option<Duration> {
        let engine = self.service.engine.as_ref()?;
        let model = engine.model(self.model.as_deref()?)?;
        let half_full = f64::from(engine.slots) / 2.0;
        Some(FirstTokenEstimate::new(engine, model).request_time(half_full))
    }

    /// Returns the number of requests at which a backend server is full for this request.
    fn full_at(&self) -> f64 {
        self.admission
            .map_or_else(|| self.max_running(), |l| l.max_running)
    }

    /// Returns the number of requests at one backend server up to which the latency objective
    /// can still be met.
    pub(super) fn max_running(&self) -> f64 {
        let Some(engine) = &self.service.engine else {
            // The backend server resets connections above its limit.
            return f64::from(self.service.max_connections) * MAX_CONNECTIONS_FRACTION;
        };
        let model = self.model.as_deref().and_then(|m| engine.model(m));
        let time_factor = model.map_or(1.0, |m| m.time_factor);
        let wait: Duration = self.route.objective.mul_f64(QUEUE_WAIT_FRACTION);
        engine.max_requests_per_group(time_factor, wait)
    }
}
