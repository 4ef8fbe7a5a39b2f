//! Outcome of an attempt at one group, and the conditions that end a running attempt.

use std::time::Duration;

use geranium_core::route::{RouteChoice, RoutePath};
use geranium_core::time::Timestamp;
use geranium_net::ApiError;

use super::{OutputError, RelayRequest};
use crate::caller::refusal;
use crate::node::Node;

/// Timeout for the first token of an attempt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout between two tokens.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without an event after which a stream of a closed group resumes elsewhere.
const CLOSED_GROUP_GRACE: Duration = Duration::from_millis(1_000);

/// Interval between checks of whether an attempt may continue.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// The answer is complete.
    Completed,
    /// The group failed; the request may have run partially.
    Interrupted(String),
    /// The entry host withdrew the request from a group that had not failed.
    Withdrawn(String),
    /// The group rejected the request without running it.
    NotRun(String),
    /// The caller disconnected or reads too slowly.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The answer cannot be continued at any group.
    Failed(ApiError),
}

impl From<OutputError> for AttemptOutcome {
    fn from(e: OutputError) -> Self {
        match e {
            OutputError::CallerGone => Self::CallerGone,
            OutputError::NoMemory => Self::Failed(refusal::no_memory()),
        }
    }
}

/// Returns the outcome of an attempt that must end now; `None` if it may continue.
pub(super) fn check_attempt(
    node: &Node,
    req: &RelayRequest,
    choice: &RouteChoice,
    last_event_at: Timestamp,
    tokens: u64,
) -> Option<AttemptOutcome> {
    let now = node.clock.now();
    if now >= req.deadline {
        return Some(AttemptOutcome::DeadlinePassed);
    }
    if node.traffic.cold_credits_expired(now, choice) {
        return Some(AttemptOutcome::Withdrawn(
            "its cold credit expired".to_owned(),
        ));
    }
    let silence = now.since(last_event_at);
    let limit = if tokens == 0 {
        FIRST_TOKEN_TIMEOUT
    } else {
        TOKEN_TIMEOUT
    };
    if silence >= limit {
        return Some(AttemptOutcome::Interrupted(format!(
            "no token for {} ms",
            silence.as_millis()
        )));
    }
    // The state of a group is known only inside its failure domain.
    let is_group_state_known = choice.path == RoutePath::Direct;
    if is_group_state_known
        && silence >= CLOSED_GROUP_GRACE
        && node.has_lost_member(&choice.group, choice.fencing)
    {
        return Some(AttemptOutcome::Interrupted(
            "a member of the group is missing".to_owned(),
        ));
    }
    None
}
