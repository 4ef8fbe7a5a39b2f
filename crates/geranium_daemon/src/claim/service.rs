//! Entry point for claimed calls.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use geranium_core::event::EventDraft;
use geranium_core::once::{
    ClaimAnswer, ClaimCall, ClaimConfig, ClaimHolder, ClaimRequest, HolderStatus, UpstreamOutcome,
};
use geranium_core::time::Timestamp;
use geranium_platform::KvStore;
use geranium_telemetry::EventRecorder;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use super::driver::ClaimDriver;
use super::writer::ClaimWriter;
use geranium_telemetry::ProcessClock;

/// Tells whether the process that holds a claim is still running.
pub trait HolderDirectory: Send + Sync + 'static {
    /// Returns the status of a holder.
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
    pub(super) writer: Arc<ClaimWriter<S>>,
    next_nonce: AtomicU64,
    running: TaskTracker,
}

impl<S: KvStore, D: HolderDirectory> ClaimService<S, D> {
    /// Creates the service of one process.
    pub fn new(
        store: S,
        directory: D,
        recorder: Arc<EventRecorder>,
        clock: ProcessClock,
        cfg: ClaimConfig,
    ) -> Self {
        let writer = Arc::new(ClaimWriter::new(store.clone(), clock));
        Self {
            store,
            directory,
            recorder,
            clock,
            cfg,
            writer,
            next_nonce: AtomicU64::new(1),
            running: TaskTracker::new(),
        }
    }

    /// Runs one call and returns the answer for its caller.
    ///
    /// The call continues until its outcome is recorded, even if the caller disconnects.
    pub async fn call(
        self: &Arc<Self>,
        req: ClaimRequest,
        upstream: impl UpstreamCall,
    ) -> ClaimAnswer {
        let (tx, rx) = oneshot::channel();
        let holder = self.new_holder();
        let now = self.clock.now();
        let nonce = holder.nonce;
        let (call, effects) = self
            .writer
            .with_batcher(|batcher| ClaimCall::submit(self.cfg, req, holder, batcher, now));
        let driver = ClaimDriver::new(self.clone(), (call, nonce), upstream, tx);
        self.running.spawn(driver.run(effects));
        // The driver answers before it ends, so that the fallback applies only if its task panics.
        rx.await.unwrap_or(ClaimAnswer::OutcomeUnknown(
            geranium_core::once::OutcomeUnknown {
                reason: geranium_core::once::UnknownReason::ConnectionLost,
                attempt: 0,
            },
        ))
    }

    /// Waits until no call runs; calls of disconnected callers may still be running.
    pub async fn wait_until_idle(&self) {
        self.running.close();
        self.running.wait().await;
    }

    /// Sets the rate of this entry host to an equal share of the total rate.
    pub fn share_rate(&self, entry_hosts: usize) {
        self.writer.share_rate(entry_hosts);
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
