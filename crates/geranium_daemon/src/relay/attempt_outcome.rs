//! How an attempt at one group ends.

use std::time::Duration;

use geranium_core::route::{RouteChoice, RoutePath};
use geranium_core::time::Timestamp;
use geranium_net::ApiError;

use super::RelayRequest;
use crate::node::Node;

/// Longest wait for the first token of an attempt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait between two tokens.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a group may be closed before its streams are resumed elsewhere.
const CLOSED_GROUP_GRACE: Duration = Duration::from_millis(1_000);

/// Time between two looks whether the group still may be used.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How one attempt ended.
pub(super) enum AttemptOutcome {
    /// The answer is whole.
    Completed,
    /// The group broke off; the request may have run in part.
    Interrupted(String),
    /// The request left the group, which did not fail.
    Withdrawn(String),
    /// The group refused the request without running it.
    NotRun(String),
    /// The caller left or reads too slowly.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The answer cannot go on anywhere.
    Failed(ApiError),
}

/// Decides whether the attempt may go on.
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
    // Only the hosts of its failure domain know the state of a group.
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
