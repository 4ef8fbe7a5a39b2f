//! Routing and limits of this entry host.
//!
//! The decisions are those of `geranium_core`; this module holds their state
//! under one lock, which is taken a few times a request and never across a wait.

mod accounts;
mod admission_guard;
mod state;

use std::time::Duration;

use geranium_core::event::EventDraft;
use geranium_core::id::{AccountId, GroupId, ModelId};
use geranium_core::limit::CrashId;
use geranium_core::limit::{
    AdmissionOutcome, AdmissionRefusal, AdmissionRequest, ColdOutcome, CrashDigest, CrashVerdict,
    CreditGrant, CreditRefusal, CreditRequest, RequestFingerprint, Ticket, TrialGrant,
    TrialRefusal, TrialRequest,
};
use geranium_core::route::{
    BlockHash, CacheEvent, Dispatch, RouteChoice, RouteQuery, RouteRefusal,
};
use geranium_core::time::Timestamp;
use parking_lot::Mutex;
use tokio::sync::oneshot;

pub use accounts::AuthenticatedAccount;
pub use admission_guard::AdmissionGuard;
use state::TrafficState;

use crate::control::ControlView;
use crate::peers::PeerView;

/// Outcome of a wait for admission.
pub type AdmissionWait = oneshot::Receiver<Result<(), AdmissionRefusal>>;

/// What became of a request that asked to start.
pub enum AdmissionDecision {
    /// It may start now.
    Admitted(Ticket),
    /// It waits for its turn.
    Queued(Ticket, AdmissionWait),
    /// It was refused and was not run.
    Refused(AdmissionRefusal),
}

/// Routing and limits of this entry host.
pub struct Traffic {
    state: Mutex<TrafficState>,
}

impl Traffic {
    /// Makes the state of an entry host without groups.
    #[must_use]
    pub fn new(identity: &geranium_telemetry::ProcessIdentity) -> Self {
        Self {
            state: Mutex::new(TrafficState::new(identity)),
        }
    }

    /// Takes over the latest state of control.
    pub fn update(&self, now: Timestamp, view: &ControlView, peers: &PeerView) {
        self.state.lock().update(now, view, peers);
    }

    /// Lets time pass: sheds queued requests and returns the cold credits to ask for.
    pub fn tick(&self, now: Timestamp) -> Vec<CreditRequest> {
        self.state.lock().tick(now)
    }

    /// Returns the client account of a key.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<AuthenticatedAccount> {
        self.state.lock().accounts.find(key)
    }

    /// Asks to start a request.
    pub fn admit(
        &self,
        now: Timestamp,
        model: &ModelId,
        req: &AdmissionRequest<'_>,
    ) -> AdmissionDecision {
        let mut state = self.state.lock();
        match state.admission(model).submit(now, req) {
            AdmissionOutcome::Admitted(ticket) => AdmissionDecision::Admitted(ticket),
            AdmissionOutcome::Refused(refusal) => AdmissionDecision::Refused(refusal),
            AdmissionOutcome::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiters.insert((model.clone(), ticket), tx);
                AdmissionDecision::Queued(ticket, rx)
            }
        }
    }

    /// Notes that an admitted request ended, or that a queued one was given up.
    pub fn release_admission(&self, now: Timestamp, model: &ModelId, ticket: Ticket) {
        let mut state = self.state.lock();
        state.waiters.remove(&(model.clone(), ticket));
        let change = state.admission(model).cancelled(now, ticket);
        state.notify_waiters(model, change);
    }

    /// Notes a request of a caller, which earns a share of a retry.
    pub fn count_request(&self, now: Timestamp) {
        let mut state = self.state.lock();
        state.retry_budget.request(now);
        state.resume_budget.request(now);
    }

    /// Spends a retry if the budget allows it.
    #[must_use]
    pub fn try_retry(&self, now: Timestamp) -> bool {
        self.state.lock().retry_budget.try_retry(now)
    }

    /// Spends the resumption of a stream whose group failed, if the budget allows it.
    #[must_use]
    pub fn try_resume(&self, now: Timestamp) -> bool {
        self.state.lock().resume_budget.try_retry(now)
    }

    /// Chooses a group and notes that the request starts there.
    ///
    /// # Errors
    ///
    /// Returns why no group takes the request now; it was not run.
    pub fn start(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
    ) -> Result<(RouteChoice, Dispatch), RouteRefusal> {
        self.state.lock().start(now, query)
    }

    /// Notes the first token of a request.
    pub fn first_token(
        &self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        waited: Duration,
    ) {
        self.state.lock().first_token(now, choice, dispatch, waited);
    }

    /// Returns whether the credits of a cold group expired under its requests,
    /// which then go on elsewhere.
    #[must_use]
    pub fn cold_credits_expired(&self, now: Timestamp, choice: &RouteChoice) -> bool {
        self.state.lock().cold_credits_expired(now, choice)
    }

    /// Takes in an event of a group's prefix cache.
    pub fn cache_event(&self, event: &CacheEvent) {
        self.state.lock().router.cache_event(event);
    }

    /// Takes the events that explain decisions, the oldest first.
    #[must_use]
    pub fn take_events(&self) -> Vec<EventDraft> {
        self.state.lock().take_events()
    }

    /// Notes the end of a request at its group.
    pub fn end(
        &self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: Dispatch,
        outcome: ColdOutcome,
    ) {
        self.state.lock().end(now, choice, dispatch, outcome);
    }

    /// Returns what may be done with a request that may crash backend servers.
    #[must_use]
    pub fn verdict(&self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashVerdict {
        self.state.lock().crashes.verdict(now, fingerprint)
    }

    /// Charges a request with the crash of the group that ran it, unless another
    /// one was on trial there; returns what peers must hear.
    pub fn group_crashed(
        &self,
        now: Timestamp,
        crash: &CrashId,
        fingerprint: RequestFingerprint,
        on_trial: Option<RequestFingerprint>,
    ) -> CrashDigest {
        let mut state = self.state.lock();
        state
            .crashes
            .group_crashed(now, crash, &[fingerprint], on_trial)
    }

    /// Returns the suspect that was on trial when a group crashed.
    #[must_use]
    pub fn suspect_for_crash(&self, crash: &CrashId) -> Option<RequestFingerprint> {
        self.state.lock().trial_holder.suspect(crash)
    }

    /// Clears a suspect that finished whole.
    pub fn clear_suspect(&self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashDigest {
        self.state.lock().crashes.succeeded(now, fingerprint)
    }

    /// Merges what a peer knows of crashing requests.
    pub fn import_crashes(&self, now: Timestamp, digest: &CrashDigest) {
        self.state.lock().crashes.import(now, digest);
    }

    /// Gains or extends the right to hand out cold credits.
    pub fn extend_cold_authority(&self, now: Timestamp, until: Timestamp) {
        let mut state = self.state.lock();
        state.cold_budget.extend_authority(now, until);
        state.trial_holder.extend_authority(now, until);
    }

    /// Gives up the right to hand out cold credits.
    pub fn resign_cold_authority(&self) {
        let mut state = self.state.lock();
        state.cold_budget.resign();
        state.trial_holder.resign();
    }

    /// Answers a request for cold credits.
    ///
    /// # Errors
    ///
    /// Returns why no answer can be given.
    pub fn grant_cold_credits(
        &self,
        now: Timestamp,
        req: &CreditRequest,
    ) -> Result<CreditGrant, CreditRefusal> {
        self.state.lock().cold_budget.request(now, req)
    }

    /// Answers a request for a trial.
    ///
    /// # Errors
    ///
    /// Returns why the suspect may not run on the group now.
    pub fn grant_trial(
        &self,
        now: Timestamp,
        req: &TrialRequest,
    ) -> Result<TrialGrant, TrialRefusal> {
        self.state.lock().trial_holder.request(now, req)
    }

    /// Ends a trial.
    pub fn end_trial(&self, req: &TrialRequest) {
        self.state.lock().trial_holder.release(req);
    }

    /// Takes in cold credits.
    pub fn add_cold_credits(&self, now: Timestamp, grant: &CreditGrant) {
        self.state.lock().cold_credits.granted(now, grant);
    }

    /// Returns the requests in progress on a group, as this entry host counts them.
    #[must_use]
    pub fn in_flight(&self, group: &GroupId) -> u32 {
        self.state.lock().router.own_in_flight(group)
    }
}

/// Returns the hashes of the prompt's blocks, as engines compute them.
#[must_use]
pub fn prompt_block_hashes(prompt: &str) -> Vec<BlockHash> {
    geranium_engine::block_hashes(prompt.as_bytes())
        .map(BlockHash)
        .collect()
}

/// Names the account of a request for admission.
#[must_use]
pub fn admission_request<'a>(
    account: &'a AccountId,
    priority: u8,
    deadline: Timestamp,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        account,
        priority,
        deadline,
    }
}
