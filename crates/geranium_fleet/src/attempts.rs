//! Decides whether a failed attempt of a request may be retried.

use std::time::Duration;

use crate::route::RouteKind;

/// Minimum time left that is worth another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// How an attempt ended without a successful answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly has not run there.
    NotRun,
    /// The request may have run there.
    MayHaveRun,
    /// The time ran out after the request was sent.
    Deadline,
}

/// The attempts of one request at backend servers.
///
/// Whether another attempt is allowed is checked before a backend server is selected, so
/// that a request that has to wait or is refused takes no slot and no retry from the
/// budget.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_fleet::attempts::{Attempts, Failure};
/// use geranium_fleet::route::RouteKind;
///
/// let mut attempts = Attempts::new(RouteKind::Idempotent, 2);
/// let left = Duration::from_secs(1);
/// attempts.record_failure(Failure::MayHaveRun);
/// assert!(attempts.may_retry(Failure::MayHaveRun, left, 1));
/// attempts.record_failure(Failure::MayHaveRun);
/// assert!(!attempts.may_retry(Failure::MayHaveRun, left, 1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    kind: RouteKind,
    max_attempts: u32,
    runs: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state for a request on a route that allows `max_attempts` attempts.
    #[must_use]
    pub fn new(kind: RouteKind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts: max_attempts.max(1),
            runs: 0,
            may_have_run: false,
        }
    }

    /// Records an attempt that runs at a backend server.
    pub const fn record_run(&mut self) {
        self.runs += 1;
        self.may_have_run = true;
    }

    /// Records an attempt that failed before an answer began.
    pub const fn record_failure(&mut self, failure: Failure) {
        match failure {
            Failure::NotRun => {}
            Failure::MayHaveRun => self.record_run(),
            Failure::Deadline => self.may_have_run = true,
        }
    }

    /// Returns the number of backend servers that the request may still run on.
    #[must_use]
    pub const fn left(&self) -> u32 {
        self.max_attempts.saturating_sub(self.runs)
    }

    /// Returns whether the request may have run at a backend server.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the request may be retried after a failure, given the time left and
    /// the retries that the shared budget still allows.
    #[must_use]
    pub fn may_retry(&self, failure: Failure, left: Duration, retries_left: u32) -> bool {
        let repeatable = match failure {
            Failure::NotRun => true,
            Failure::MayHaveRun => self.kind.may_repeat(),
            Failure::Deadline => false,
        };
        repeatable && self.runs < self.max_attempts && left > MIN_ATTEMPT_TIME && retries_left > 0
    }
}
