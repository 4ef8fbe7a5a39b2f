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
    Whole,
    /// The group broke off; the request may have run in part.
    Broken(String),
    /// The request left the group, which did not fail.
    Left(String),
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
pub(super) fn check(
    node: &Node,
    req: &RelayRequest,
    choice: &RouteChoice,
    heard_at: Timestamp,
    tokens: u64,
) -> Option<AttemptOutcome> {
    let now = node.clock.now();
    if now >= req.deadline {
        return Some(AttemptOutcome::DeadlinePassed);
    }
    if node.traffic.cold_credits_expired(now, choice) {
        return Some(AttemptOutcome::Left("its cold credit expired".to_owned()));
    }
    let silent = now.since(heard_at);
    let limit = if tokens == 0 {
        FIRST_TOKEN_TIMEOUT
    } else {
        TOKEN_TIMEOUT
    };
    if silent >= limit {
        return Some(AttemptOutcome::Broken(format!(
            "no token for {} ms",
            silent.as_millis()
        )));
    }
    // Only the hosts of its failure domain know the state of a group.
    let is_known = choice.path == RoutePath::Direct;
    if is_known && silent >= CLOSED_GROUP_GRACE && node.is_broken(&choice.group, choice.fencing) {
        return Some(AttemptOutcome::Broken(
            "a member of the group is missing".to_owned(),
        ));
    }
    None
}
