//! Routing and request limits of this entry host.
//!
//! The decisions are made by `geranium_core`. This module holds their state under
//! one lock, which is taken a few times per request and never held across an await.

mod accounts;
mod admission_guard;
mod state;
mod ticks;

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
pub use ticks::tick_traffic;

use crate::control::ControlView;
use crate::peers::PeerView;

/// Receives the outcome for a queued request.
pub type AdmissionWait = oneshot::Receiver<Result<(), AdmissionRefusal>>;

/// Decision on the admission of a request.
pub enum AdmissionDecision {
    /// The request may start now.
    Admitted(Ticket),
    /// The request is queued.
    Queued(Ticket, AdmissionWait),
    /// The request was refused and was not run.
    Refused(AdmissionRefusal),
}

/// Routing and request limits of this entry host.
pub struct Traffic {
    state: Mutex<TrafficState>,
}

impl Traffic {
    /// Creates the state of an entry host without groups.
    #[must_use]
    pub fn new(identity: &geranium_telemetry::ProcessIdentity) -> Self {
        Self {
            state: Mutex::new(TrafficState::new(identity)),
        }
    }

    /// Applies the latest view of the control task and of the peers.
    pub fn update(&self, now: Timestamp, view: &ControlView, peers: &PeerView) {
        self.state.lock().update(now, view, peers);
    }

    /// Runs the periodic work: sheds queued requests and returns the cold credits to request.
    pub fn tick(&self, now: Timestamp) -> Vec<CreditRequest> {
        self.state.lock().tick(now)
    }

    /// Returns the client account that a key belongs to.
    #[must_use]
    pub fn account_for_key(&self, key: &str) -> Option<AuthenticatedAccount> {
        self.state.lock().accounts.find(key)
    }

    /// Admits, queues or refuses a request.
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

    /// Ends an admitted request or abandons a queued one.
    pub fn release_admission(&self, now: Timestamp, model: &ModelId, ticket: Ticket) {
        let mut state = self.state.lock();
        state.waiters.remove(&(model.clone(), ticket));
        let change = state.admission(model).cancelled(now, ticket);
        state.notify_waiters(model, change);
    }

    /// Counts a request of a caller, which adds a fraction of a retry to the budgets.
    pub fn count_request(&self, now: Timestamp) {
        let mut state = self.state.lock();
        state.retry_budget.request(now);
        state.resume_budget.request(now);
    }

    /// Takes a retry from the budget; returns whether it was granted.
    #[must_use]
    pub fn try_retry(&self, now: Timestamp) -> bool {
        self.state.lock().retry_budget.try_retry(now)
    }

    /// Takes a resumption of a stream from the budget; returns whether it was granted.
    #[must_use]
    pub fn try_resume(&self, now: Timestamp) -> bool {
        self.state.lock().resume_budget.try_retry(now)
    }

    /// Chooses a group and records that the request starts there.
    ///
    /// # Errors
    ///
    /// Returns why no group can take the request now; the request was not run.
    pub fn start_request(
        &self,
        now: Timestamp,
        query: &RouteQuery<'_>,
    ) -> Result<(RouteChoice, Dispatch), RouteRefusal> {
        self.state.lock().start_request(now, query)
    }

    /// Records the first token of a request.
    pub fn record_first_token(
        &self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        waited: Duration,
    ) {
        self.state
            .lock()
            .record_first_token(now, choice, dispatch, waited);
    }

    /// Returns whether the credits of a cold group expired while requests run there;
    /// these requests then resume at another group.
    #[must_use]
    pub fn cold_credits_expired(&self, now: Timestamp, choice: &RouteChoice) -> bool {
        self.state.lock().cold_credits_expired(now, choice)
    }

    /// Applies an event of a group's prefix cache.
    pub fn apply_cache_event(&self, event: &CacheEvent) {
        self.state.lock().router.cache_event(event);
    }

    /// Removes and returns the events that explain decisions, oldest first.
    #[must_use]
    pub fn take_events(&self) -> Vec<EventDraft> {
        self.state.lock().take_events()
    }

    /// Records the end of a request at its group.
    pub fn end_request(
        &self,
        now: Timestamp,
        choice: &RouteChoice,
        dispatch: Dispatch,
        outcome: ColdOutcome,
    ) {
        self.state
            .lock()
            .end_request(now, choice, dispatch, outcome);
    }

    /// Returns how to treat a request that may crash backend servers.
    #[must_use]
    pub fn crash_verdict(&self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashVerdict {
        self.state.lock().crashes.verdict(now, fingerprint)
    }

    /// Attributes the crash of a group to the request that ran there, unless another
    /// request was on trial there. Returns the digest to send to peers.
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

    /// Returns the suspect that was on trial on a group when it crashed.
    #[must_use]
    pub fn suspect_for_crash(&self, crash: &CrashId) -> Option<RequestFingerprint> {
        self.state.lock().trial_holder.suspect(crash)
    }

    /// Clears a suspect whose answer was complete. Returns the digest to send to peers.
    pub fn clear_suspect(&self, now: Timestamp, fingerprint: &RequestFingerprint) -> CrashDigest {
        self.state.lock().crashes.succeeded(now, fingerprint)
    }

    /// Merges the crash digest of a peer.
    pub fn import_crashes(&self, now: Timestamp, digest: &CrashDigest) {
        self.state.lock().crashes.import(now, digest);
    }

    /// Gains or extends the authority to grant cold credits and trials.
    pub fn extend_cold_authority(&self, now: Timestamp, until: Timestamp) {
        let mut state = self.state.lock();
        state.cold_budget.extend_authority(now, until);
        state.trial_holder.extend_authority(now, until);
    }

    /// Gives up the authority to grant cold credits and trials.
    pub fn resign_cold_authority(&self) {
        let mut state = self.state.lock();
        state.cold_budget.resign();
        state.trial_holder.resign();
    }

    /// Grants cold credits to an entry host.
    ///
    /// # Errors
    ///
    /// Returns why no credits can be granted.
    pub fn grant_cold_credits(
        &self,
        now: Timestamp,
        req: &CreditRequest,
    ) -> Result<CreditGrant, CreditRefusal> {
        self.state.lock().cold_budget.request(now, req)
    }

    /// Grants the trial of a suspect on a group.
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

    /// Adds granted cold credits.
    pub fn add_cold_credits(&self, now: Timestamp, grant: &CreditGrant) {
        self.state.lock().cold_credits.granted(now, grant);
    }

    /// Returns the number of requests that this entry host has in progress on a group.
    #[must_use]
    pub fn in_flight(&self, group: &GroupId) -> u32 {
        self.state.lock().router.own_in_flight(group)
    }
}

/// Returns the block hashes of a prompt, computed in the same way as by the engines.
#[must_use]
pub fn prompt_block_hashes(prompt: &str) -> Vec<BlockHash> {
    geranium_engine::block_hashes(prompt.as_bytes())
        .map(BlockHash)
        .collect()
}

/// Creates the admission request of an account.
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
