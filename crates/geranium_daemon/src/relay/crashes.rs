//! Reports the outcomes of attempts to the crash registry.

use geranium_core::limit::CrashId;
use geranium_core::route::RouteChoice;
use geranium_core::time::Timestamp;

use super::RelayJob;
use super::trial::suspect_for_crash;

impl RelayJob {
    /// Clears the suspicion against a request whose answer is complete.
    pub(super) async fn record_success(&mut self, now: Timestamp) {
        self.trial = None;
        if self.has_crashed {
            let digest = self.node.traffic.clear_suspect(now, &self.req.fingerprint);
            self.node.broadcast_crashes(&digest).await;
        }
    }

    /// Attributes the crash of a group to the request before it runs on another group.
    pub(super) async fn record_crash(&mut self, now: Timestamp, choice: &RouteChoice) {
        self.has_crashed = true;
        let was_on_trial = self.trial.is_some();
        let engine_crashed = match self.crash_detector.take() {
            Some(detector) => detector.engine_crashed(&self.node).await,
            None => false,
        };
        if !engine_crashed {
            self.trial = None;
            return;
        }
        let crash = CrashId {
            group: choice.group.clone(),
            generation: choice.generation,
        };
        let fingerprint = self.req.fingerprint;
        let on_trial = if was_on_trial {
            Some(fingerprint)
        } else {
            suspect_for_crash(&self.node, &crash).await
        };
        if let Some(trial) = self.trial.take() {
            trial.retain();
        }
        let digest = self
            .node
            .traffic
            .group_crashed(now, &crash, fingerprint, on_trial);
        self.node.broadcast_crashes(&digest).await;
    }
}
