//! Results of a claimed call, as returned to its caller.

use std::time::Duration;

use serde::Serialize;

use super::{StoredAnswer, UpstreamAnswer};

/// The reason why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The platform's store is unavailable, so the call can't be claimed.
    StoreUnavailable,
    /// The rate limit for claim writes is exceeded.
    RateLimited,
    /// The deadline passed before the call was dispatched.
    DeadlinePassed,
    /// No connection to the service could be established.
    ServiceUnreachable,
    /// Calls with the same key won every race for the claim.
    Contended,
    /// The key is older than the retention of claims.
    KeyExpired,
}

/// What is known about other attempts with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OtherAttempts {
    /// No attempt with this key has run.
    NoneRan,
    /// The claim was not read: if the key was used before, that earlier attempt
    /// may have run.
    NotChecked,
}

/// The attempt was not run and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct NotRun {
    /// The reason why it was not run.
    pub reason: NotRunReason,
    /// What is known about other attempts with the same key.
    pub other_attempts: OtherAttempts,
    /// Time to wait before a resend.
    #[serde(skip)]
    pub retry_after: Duration,
}

/// The reason why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection to the service was lost after the call was sent.
    ConnectionLost,
    /// The service did not respond before the deadline.
    DeadlinePassed,
    /// The process that held the claim is gone.
    HolderGone,
    /// The store failed while another holder was running the call.
    StoreUnavailable,
    /// The claim records an earlier attempt with an unknown outcome.
    Recorded,
    /// The claim can't be decoded, for example because of its schema version.
    Unreadable,
    /// The claim expired and was deleted while another holder was running the call.
    ClaimExpired,
}

/// The call may have run or may still run; it is never run again under this key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct OutcomeUnknown {
    /// The reason why the outcome is unknown.
    pub reason: UnknownReason,
    /// Number of the attempt whose outcome is unknown; zero if the claim can't be
    /// decoded.
    pub attempt: u32,
}

/// Another request with the same key is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct InProgress {
    /// Number of the running attempt.
    pub attempt: u32,
    /// Time to wait before a resend.
    #[serde(skip)]
    pub retry_after: Duration,
}

/// Result of a claimed call, as returned to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimAnswer {
    /// The call ran for this request; holds the response of the service.
    Done(UpstreamAnswer),
    /// The call ran for an earlier request; holds the stored response.
    Replayed(StoredAnswer),
    /// The attempt was not run.
    NotRun(NotRun),
    /// The call may have run.
    OutcomeUnknown(OutcomeUnknown),
    /// Another request with the same key is in progress.
    InProgress(InProgress),
    /// The key was used before for a different request; this one was not run.
    KeyReused,
}

impl ClaimAnswer {
    /// Returns the HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Done(answer) => answer.status,
            Self::Replayed(answer) => answer.status,
            Self::NotRun(NotRun {
                reason: NotRunReason::RateLimited,
                ..
            }) => 429,
            Self::NotRun(NotRun {
                reason: NotRunReason::KeyExpired,
                ..
            }) => 410,
            Self::NotRun(_) => 503,
            Self::OutcomeUnknown(_) => 504,
            Self::InProgress(_) => 409,
            Self::KeyReused => 422,
        }
    }

    /// Returns the error type for the response body, or `None` for a response of
    /// the service.
    #[must_use]
    pub fn error_type(&self) -> Option<&'static str> {
        match self {
            Self::Done(_) | Self::Replayed(_) => None,
            Self::NotRun(_) => Some("not_run"),
            Self::OutcomeUnknown(_) => Some("outcome_unknown"),
            Self::InProgress(_) => Some("in_progress"),
            Self::KeyReused => Some("key_reused"),
        }
    }

    /// Returns the time to wait before a resend, or `None` if a resend is pointless.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NotRun(NotRun {
                reason: NotRunReason::KeyExpired,
                ..
            }) => None,
            Self::NotRun(refusal) => Some(refusal.retry_after),
            Self::InProgress(refusal) => Some(refusal.retry_after),
            _ => None,
        }
    }
}
