//! State of [`Traffic`](super::Traffic) behind its lock.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::event::EventDraft;
use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::id::{GroupId, ModelId};
use geranium_core::limit::{
    AccountLimit, Admission, AdmissionChange, AdmissionRefusal, AdmissionSettings,
    ColdBudgetHolder, ColdCreditUser, ColdOutcome, ColdSettings, CrashRegistry, CrashSettings,
    CreditRequest, RetryBudget, RetryBudgetSettings, Ticket, TrialHolder,
};
use geranium_core::record::{ModelSpec, RecordSet};
use geranium_core::route::{
    ColdCredits, Dispatch, LatencyVerdict, RouteChoice, RouteQuery, RouteRefusal, Router,
    RouterSettings,
};
use geranium_core::time::Timestamp;
use geranium_telemetry::ProcessIdentity;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use super::accounts::AccountDirectory;
use crate::control::ControlView;
use crate::peers::PeerView;

/// Maximum time for a suspect to get past the point at which its group crashed.
const TRIAL_LIFETIME: Duration = Duration::from_secs(10);

/// Time added to a trial's lifetime, because clocks run at different speeds.
const TRIAL_CLOCK_MARGIN: Duration = Duration::from_millis(100);

type Waiter = oneshot::Sender<Result<(), AdmissionRefusal>>;

/// Routing and request limits.
pub struct TrafficState {
    pub router: Router,
    pub accounts: AccountDirectory,
    pub retry_budget: RetryBudget,
    pub resume_budget: RetryBudget,
    pub crashes: CrashRegistry,
    pub cold_credits: ColdCreditUser,
    pub cold_budget: ColdBudgetHolder,
    pub trial_holder: TrialHolder,
    pub waiters: HashMap<(ModelId, Ticket), Waiter>,
    admissions: HashMap<ModelId, Admission>,
    serving: Arc<Vec<ServingGroup>>,
    records: Arc<RecordSet>,
    entry_hosts: u32,
    rng: SmallRng,
    seed: u64,
}

impl TrafficState {
    pub fn new(identity: &ProcessIdentity) -> Self {
        let seed = identity.incarnation.0;
        let (host, incarnation) = (identity.host.clone(), identity.incarnation);
        Self {
            router: Router::new(identity.failure_domain.clone(), RouterSettings::default()),
            accounts: AccountDirectory::default(),
            retry_budget: RetryBudget::new(RetryBudgetSettings::retries()),
            resume_budget: RetryBudget::new(RetryBudgetSettings::resumes()),
            crashes: CrashRegistry::new(CrashSettings::default()),
            cold_credits: ColdCreditUser::new(host, incarnation, ColdSettings::default()),
            cold_budget: ColdBudgetHolder::new(ColdSettings::default()),
            trial_holder: TrialHolder::new(TRIAL_LIFETIME, TRIAL_CLOCK_MARGIN),
            waiters: HashMap::default(),
            admissions: HashMap::default(),
            serving: Arc::default(),
            records: Arc::default(),
            entry_hosts: 1,
            rng: SmallRng::seed_from_u64(seed),
            seed,
        }
    }

    pub fn admission(&mut self, model: &ModelId) -> &mut Admission {
        let seed = self.seed;
        let admissions = self.admissions.entry(model.clone());
        admissions.or_insert_with(|| Admission::new(AdmissionSettings::default(), seed))
    }

    pub fn update(&mut self, now: Timestamp, view: &ControlView, peers: &PeerView) {
        let records_changed = !Arc::ptr_eq(&self.records, &view.records);
        self.entry_hosts = peers.active.max(1);
        self.serving = view.serving.clone();
        if records_changed {
            self.records = view.records.clone();
            self.update_records(now);
        }
        self.update_router(now, peers);
        self.cold_budget.update_groups(now, &view.serving);
        for group in view.serving.iter() {
            let load = group.running + group.waiting;
            self.cold_budget.observe_load(&group.group, now, load);
        }
        let is_serving = |id: &GroupId| view.serving.iter().any(|group| group.group == *id);
        self.cold_credits.retain_groups(is_serving);
        self.update_capacity(now);
    }

    fn update_router(&mut self, now: Timestamp, peers: &PeerView) {
        if peers.remote_groups.is_empty() {
            self.router.update_groups(now, &self.serving);
        } else {
            let mut groups = self.serving.as_ref().clone();
            groups.extend(peers.remote_groups.iter().cloned());
            self.router.update_groups(now, &groups);
        }
        self.router.update_entry_hosts(&peers.remote_entry_hosts);
    }

    /// Removes and returns the events that explain decisions, oldest first.
    pub fn take_events(&mut self) -> Vec<EventDraft> {
        let mut events = self.router.take_events();
        events.extend(self.cold_budget.take_events());
        events.extend(self.crashes.take_events());
        events
    }

    /// Records a first token; marks the group as cold if the latency indicates so.
    pub fn record_first_token(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        waited: Duration,
    ) {
        let verdict = self.router.first_token(now, dispatch, waited);
        let is_current_generation = self
            .serving
            .iter()
            .any(|group| group.group == choice.group && group.generation == choice.generation);
        if verdict == LatencyVerdict::Cold && is_current_generation {
            self.cold_credits
                .mark_cold(&choice.group, choice.generation);
        }
    }

    /// Returns whether the credits of a cold group expired while requests run there.
    pub fn cold_credits_expired(&mut self, now: Timestamp, choice: &RouteChoice) -> bool {
        let is_cold = choice.temperature == Temperature::Cold;
        is_cold
            && self
                .cold_credits
                .expired(now)
                .iter()
                .any(|expired| expired.group == choice.group)
    }

    pub fn tick(&mut self, now: Timestamp) -> Vec<CreditRequest> {
        self.update_capacity(now);
        let models: Vec<ModelId> = self.admissions.keys().cloned().collect();
        for model in models {
            let change = self.admission(&model).tick(now);
            self.notify_waiters(&model, change);
        }
        self.cold_credits.requests_due(now)
    }

    pub fn start_request(
        &mut self,
        now: Timestamp,
        query: &RouteQuery<'_>,
    ) -> Result<(RouteChoice, Dispatch), RouteRefusal> {
        let choice = self
            .router
            .choose(now, query, &self.cold_credits, &mut self.rng)?;
        let is_cold = choice.temperature == Temperature::Cold;
        if is_cold
            && !self
                .cold_credits
                .try_start(now, &choice.group, choice.generation)
        {
            return Err(RouteRefusal::NoColdCredit(query.model.clone()));
        }
        let dispatch = self.router.started(now, &choice, query.prefix);
        Ok((choice, dispatch))
    }

    pub fn end_request(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: Dispatch,
        outcome: ColdOutcome,
    ) {
        if outcome == ColdOutcome::Failed {
            self.router.failed(now, dispatch);
        } else {
            self.router.finished(now, dispatch);
        }
        if choice.temperature == Temperature::Cold {
            self.cold_credits
                .ended(&choice.group, choice.generation, outcome);
        }
    }

    /// Notifies queued requests that they may start or are refused.
    pub fn notify_waiters(&mut self, model: &ModelId, change: AdmissionChange) {
        for started in change.started {
            let waiter = self.waiters.remove(&(model.clone(), started.ticket));
            // If the waiter is gone, its `AdmissionGuard` has released the ticket.
            if let Some(waiter) = waiter {
                let _ = waiter.send(Ok(()));
            }
        }
        for refused in change.refused {
            if let Some(waiter) = self.waiters.remove(&(model.clone(), refused.ticket)) {
                let _ = waiter.send(Err(refused.refusal));
            }
        }
    }

    fn update_records(&mut self, now: Timestamp) {
        let records = self.records.clone();
        let models: Vec<ModelSpec> = records.models().cloned().collect();
        self.router.update_records(&models);
        self.router
            .update_drains(records.drains().map(|drain| drain.target.clone()));
        self.accounts = AccountDirectory::new(records.accounts());
        for spec in &models {
            let limits = account_limits(&records, &spec.served_model);
            let model = spec.served_model.clone();
            let change = self.admission(&model).set_accounts(now, &limits);
            self.notify_waiters(&model, change);
        }
    }

    /// Sets the number of requests that each model may have in progress through this entry host.
    fn update_capacity(&mut self, now: Timestamp) {
        self.update_wanted_credits();
        let models: Vec<ModelId> = self.admissions.keys().cloned().collect();
        for model in models {
            let capacity = self
                .router
                .capacity(now, &model, self.entry_hosts, &self.cold_credits);
            let change = self.admission(&model).set_capacity(now, capacity);
            self.notify_waiters(&model, change);
        }
    }

    /// Requests one cold credit more than is needed, so that the next request finds
    /// one available.
    fn update_wanted_credits(&mut self) {
        let serving = self.serving.clone();
        for group in serving.iter() {
            let (id, generation) = (&group.group, group.generation);
            let is_cold = group.temperature == Temperature::Cold
                || self.cold_credits.marked_cold(id, generation);
            if !is_cold {
                continue;
            }
            let admission = self.admissions.get(&group.served_model);
            let queued =
                u32::try_from(admission.map_or(0, Admission::queued)).unwrap_or(u32::MAX / 2);
            let wanted = self.cold_credits.in_use(id) + 1 + queued;
            self.cold_credits
                .set_wanted(id, generation, wanted.min(group.warm_concurrency));
        }
    }
}

fn account_limits(records: &RecordSet, model: &ModelId) -> Vec<AccountLimit> {
    let mut limits: Vec<AccountLimit> = Vec::new();
    for spec in records.models_serving(model) {
        for share in &spec.accounts {
            let account = records.account(&share.account);
            let Some(account) = account else { continue };
            match limits
                .iter_mut()
                .find(|limit| limit.account == share.account)
            {
                Some(limit) => limit.weight = limit.weight.max(share.weight),
                None => limits.push(AccountLimit {
                    account: share.account.clone(),
                    weight: share.weight,
                    max_concurrent: account.max_concurrent,
                }),
            }
        }
    }
    limits
}
