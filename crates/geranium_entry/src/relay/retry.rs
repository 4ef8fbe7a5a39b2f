//! What follows a failed attempt.

use std::time::Duration;

use geranium_fleet::host::Host;
use geranium_fleet::route::RouteKind;

use super::answer::{Reason, Refusal};
use super::attempt::AttemptError;
use super::job::Job;
use crate::dialect::Dialect;
use crate::metrics::CauseLabel;

/// Shortest time that is worth another attempt.
pub(super) const SHORTEST_ATTEMPT: Duration = Duration::from_millis(50);

impl<D: Dialect> Job<D> {
    /// Notes a failed attempt; another may follow unless a refusal is returned.
    pub(super) fn after_failure(
        &mut self,
        host: &Host,
        error: AttemptError,
    ) -> Result<(), Refusal> {
        log::info!(
            request = self.id(), route:% = self.route.name,
            host:% = host.id, cause:? = error, left_ms = self.left().as_millis() as u64;
            "attempt failed"
        );
        self.shared.metrics.note_attempt(error.word());
        self.note_evidence(host, error);
        let repeat = match error {
            AttemptError::NotRun(_) => true,
            AttemptError::MayHaveRun(_) | AttemptError::Silent => {
                self.runs += 1;
                self.may_have_run = true;
                self.route.kind.may_repeat()
            }
            AttemptError::Deadline => {
                self.may_have_run = true;
                false
            }
        };
        if repeat && self.left() > SHORTEST_ATTEMPT && self.may_retry(error.word()) {
            return Ok(());
        }
        Err(self.refusal(self.reason_after(error)))
    }

    /// Returns whether a request may be sent elsewhere after a server answered that
    /// it failed.
    pub(super) fn may_try_after_error(&mut self) -> bool {
        self.runs += 1;
        self.may_have_run = true;
        let repeatable = self.route.kind == RouteKind::Idempotent;
        repeatable && self.left() > SHORTEST_ATTEMPT && self.may_retry("server_error")
    }

    /// Returns the refusal for a request that no backend server takes.
    pub(super) fn no_host(&self, word: &'static str) -> Refusal {
        let reason = if self.may_have_run {
            Reason::Lost
        } else {
            Reason::NoCapacity(word)
        };
        self.refusal(reason)
    }

    /// Returns why the entry host answers after a failure that nothing follows.
    fn reason_after(&self, error: AttemptError) -> Reason {
        match error {
            AttemptError::Deadline => Reason::Late,
            _ if self.may_have_run => Reason::Lost,
            AttemptError::NotRun(cause) => Reason::NoCapacity(cause),
            AttemptError::MayHaveRun(_) | AttemptError::Silent => Reason::Lost,
        }
    }

    fn note_evidence(&self, host: &Host, error: AttemptError) {
        if error == AttemptError::MayHaveRun("reset") {
            self.note_broken_off(host);
        }
        if error == AttemptError::Deadline {
            return;
        }
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        core.dispatcher.note_outcome(&host.id, false, None);
        if matches!(error, AttemptError::NotRun("connect" | "silent")) {
            core.dispatcher.suspect(&host.id, now);
        }
    }

    /// Notes that a backend server broke off while it may have run the request.
    pub(super) fn note_broken_off(&self, host: &Host) {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        core.crashes
            .broke_off(&host.id, host.born, self.fingerprint, now);
    }

    /// Spends a retry of the shared budget if one is left.
    pub(super) fn may_retry(&self, cause: &'static str) -> bool {
        if self.runs >= self.route.max_attempts.max(1) {
            return false;
        }
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let budget = core.budget(&self.service.name, &self.shared.bounds.get());
        let allowed = budget.try_retry(now);
        if allowed {
            self.shared
                .metrics
                .retries
                .get_or_create(&CauseLabel { cause })
                .inc();
        }
        allowed
    }
}
