//! Handling of failed attempts: bookkeeping, retries and refusals.

use std::time::Duration;

use geranium_fleet::crash::{CrashId, CrashVerdict, HARMLESS_AFTER};
use geranium_fleet::dispatch::NoHost;
use geranium_fleet::route::RouteKind;

use super::active_request::ActiveRequest;
use super::attempt::{AttemptError, PAUSED};
use super::next_hop::NextHop;
use super::refusal::{Refusal, RefusalReason};
use crate::crash_probe;
use crate::dialect::Dialect;

impl<D: Dialect> ActiveRequest<D> {
    /// Records a failed attempt. Another attempt may follow unless a refusal is returned.
    pub(super) async fn handle_failure(
        &mut self,
        hop: &NextHop,
        error: AttemptError,
    ) -> Result<(), Refusal> {
        self.record_failure(hop, error, None);
        self.check_crash(hop, error, None).await;
        self.attempts.record_failure(error.failure());
        if self.is_cut_by_exit() && !self.attempts.may_have_run() {
            return Err(self.refusal(RefusalReason::Leaving));
        }
        if self.may_forward_or_retry(error) {
            return Ok(());
        }
        Err(self.refusal(self.refusal_reason(error)))
    }

    /// Logs and counts a failed attempt and updates the health of the backend server.
    /// `writing_for` is the time since the first event, if one had arrived.
    pub(super) fn record_failure(
        &self,
        hop: &NextHop,
        error: AttemptError,
        writing_for: Option<Duration>,
    ) {
        log::info!(
            request = self.id(), route:% = self.route.name,
            host:% = hop.id(), cause:? = error, left_ms = self.remaining_time().as_millis() as u64,
            writing_ms = writing_for.map(|d| d.as_millis() as u64), prompt_parts:% = self.prompt_parts;
            "attempt failed"
        );
        self.shared.metrics.record_attempt(error.as_str());
        self.update_health(hop, error);
    }

    /// Returns whether another attempt may follow a failure, here or at another entry host.
    fn may_forward_or_retry(&mut self, error: AttemptError) -> bool {
        // While no server can be reached, a further attempt here would fail as well.
        if matches!(error, AttemptError::NotTaken(_)) || self.shared.is_cut_off() {
            return self.may_forward(error) || self.may_retry(error);
        }
        self.may_retry(error) || self.may_forward(error)
    }

    /// Returns whether another attempt may follow a failure. If so, the next host selection
    /// consumes a retry of the shared budget.
    pub(super) fn may_retry(&mut self, error: AttemptError) -> bool {
        let retries = self.retries_left();
        let may = self
            .attempts
            .may_retry(error.failure(), self.remaining_time(), retries)
            && self.crash_verdict() == CrashVerdict::Allowed;
        self.retry_cause = may.then_some(error.as_str());
        may
    }

    /// Returns whether a request may be retried after a server error response.
    pub(super) fn may_retry_after_server_error(&mut self) -> bool {
        self.attempts.record_run();
        let repeatable = self.route.kind == RouteKind::Idempotent;
        repeatable && self.may_retry(AttemptError::MayHaveRun("server_error"))
    }

    /// Returns the refusal of a request for which no backend server can be selected.
    pub(super) fn no_host_refusal(&self, why: NoHost) -> Refusal {
        let counts = self.count_candidates();
        self.log_no_host(why, counts);
        let reason = if self.attempts.may_have_run() {
            RefusalReason::BackendFailed
        } else {
            RefusalReason::NoHost(why)
        };
        let mut refusal = self.refusal(reason);
        if reason == RefusalReason::NoHost(NoHost::Full) {
            refusal.retry_after = self.record_full(counts).or(refusal.retry_after);
        }
        refusal
    }

    /// Returns the refusal reason after a failure that is not retried.
    fn refusal_reason(&self, error: AttemptError) -> RefusalReason {
        match error {
            AttemptError::Deadline => RefusalReason::DeadlineExceeded,
            _ if self.attempts.may_have_run() => RefusalReason::BackendFailed,
            AttemptError::NotTaken(_) => RefusalReason::NoHost(NoHost::CutOff),
            AttemptError::NotRun(cause) => RefusalReason::NoCapacity(cause),
            AttemptError::MayHaveRun(_) | AttemptError::Silent => RefusalReason::BackendFailed,
        }
    }

    fn update_health(&self, hop: &NextHop, error: AttemptError) {
        let Some(host) = hop.server() else {
            self.record_forwarding(hop.id(), Some(error));
            return;
        };
        if error.may_lack_path() {
            self.shared.check_reach_soon(&host.id);
        }
        // A backend server that is at capacity or asked for a pause has not failed.
        if matches!(error, AttemptError::Deadline | AttemptError::NotRun(PAUSED)) {
            return;
        }
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        core.dispatcher.record_outcome(&host.id, false, None);
        if error.is_unreached() {
            core.dispatcher.suspect(&host.id, now);
        }
    }

    /// Finds out whether the request may have crashed its backend server, if that dropped it
    /// without having written an answer for long.
    pub(super) async fn check_crash(
        &self,
        hop: &NextHop,
        error: AttemptError,
        writing_for: Option<Duration>,
    ) {
        let Some(host) = hop.server() else {
            return;
        };
        if !error.is_disconnect() || writing_for >= Some(HARMLESS_AFTER) {
            return;
        }
        let now = self.shared.now();
        self.shared.core.borrow_mut().crashes.record_disconnect(
            CrashId::of(host),
            &self.crash_subjects,
            &self.sent_counts,
            now,
        );
        crash_probe::probe(&self.shared, host).await;
    }

    /// Records that the request was answered.
    pub(super) fn record_answer(&self) {
        self.shared
            .record_answer(&self.crash_subjects, &self.sent_counts);
    }
}
