//! Entry point for claimed calls.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use geranium_core::event::EventDraft;
use geranium_core::once::{
    ClaimAnswer, ClaimBudget, ClaimCall, ClaimConfig, ClaimHolder, ClaimRequest, HolderStatus,
    NotRun, NotRunReason, OtherAttempts, UpstreamOutcome,
};
use geranium_core::time::Timestamp;
use geranium_platform::KvStore;
use geranium_telemetry::EventRecorder;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use super::driver::ClaimDriver;
use crate::clock::ProcessClock;

/// Store writes a second that claims of one entry host may take.
const CLAIM_WRITES_PER_SECOND: f64 = 100.0;

/// Store writes that claims of one entry host may take at once.
const CLAIM_WRITE_BURST: f64 = 100.0;

/// Tells whether the process that holds a claim still runs.
pub trait HolderDirectory: Send + Sync + 'static {
    /// Looks a holder up in the membership.
    fn status(&self, now: Timestamp, holder: &ClaimHolder) -> HolderStatus;
}

/// Sends a claimed call to its service.
pub trait UpstreamCall: Send + 'static {
    /// Sends the call, unless `before` has passed.
    fn send(&mut self, before: Timestamp) -> impl Future<Output = UpstreamOutcome> + Send;
}

/// Runs claimed calls of this process.
pub struct ClaimService<S, D> {
    pub(super) store: S,
    pub(super) directory: D,
    pub(super) recorder: Arc<EventRecorder>,
    pub(super) clock: ProcessClock,
    cfg: ClaimConfig,
    budget: Mutex<ClaimBudget>,
    next_nonce: AtomicU64,
}

impl<S: KvStore, D: HolderDirectory> ClaimService<S, D> {
    /// Makes the service of one process.
    pub fn new(
        store: S,
        directory: D,
        recorder: Arc<EventRecorder>,
        clock: ProcessClock,
        cfg: ClaimConfig,
    ) -> Self {
        let budget = ClaimBudget::new(CLAIM_WRITES_PER_SECOND, CLAIM_WRITE_BURST);
        Self {
            store,
            directory,
            recorder,
            clock,
            cfg,
            budget: Mutex::new(budget),
            next_nonce: AtomicU64::new(1),
        }
    }

    /// Runs one call and returns the answer for its caller.
    ///
    /// The call goes on to its recorded end even if the caller is gone.
    pub async fn call(
        self: &Arc<Self>,
        req: ClaimRequest,
        upstream: impl UpstreamCall,
    ) -> ClaimAnswer {
        let (tx, rx) = oneshot::channel();
        let holder = self.new_holder();
        let now = self.clock.now();
        let (call, effects) =
            ClaimCall::submit(self.cfg, req, holder, &mut *self.budget.lock(), now);
        let driver = ClaimDriver::new(self.clone(), call, upstream, tx);
        tokio::spawn(driver.run(effects));
        // The driver answers before it ends; only a panic of its task gets here.
        rx.await.unwrap_or(ClaimAnswer::OutcomeUnknown(
            geranium_core::once::OutcomeUnknown {
                reason: geranium_core::once::UnknownReason::ConnectionLost,
                attempt: 0,
            },
        ))
    }

    /// Returns the refusal of a call for which no service can be reached.
    #[must_use]
    pub fn no_endpoint(&self) -> ClaimAnswer {
        ClaimAnswer::NotRun(NotRun {
            reason: NotRunReason::ServiceUnreachable,
            other_attempts: OtherAttempts::NotChecked,
            retry_after: self.cfg.unavailable_retry_after,
        })
    }

    pub(super) fn emit(&self, draft: EventDraft) {
        self.recorder.record(self.clock.now(), draft);
    }

    fn new_holder(&self) -> ClaimHolder {
        let identity = self.recorder.identity();
        ClaimHolder {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            nonce: self.next_nonce.fetch_add(1, Ordering::Relaxed),
        }
    }
}
