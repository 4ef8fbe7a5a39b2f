//! Conditions under which an order is safe although nobody checks fencing numbers.
//!
//! The planner and the specification share these functions.

use crate::host::{GroupState, Membership};

/// Returns whether the head of a group may be ordered to serve: every position in the group is
/// held by a host that reports to be ready under the group's name and epoch.
#[must_use]
pub fn may_open<'a>(size: usize, members: impl IntoIterator<Item = &'a Membership>) -> bool {
    let mut ready = 0;
    for member in members {
        if member.state != GroupState::Ready {
            return false;
        }
        ready += 1;
    }
    ready == size
}

/// Returns whether the head of a group certainly no longer serves it, judging by what the
/// head reports.
#[must_use]
pub fn is_group_over(group: &str, head: Option<&Membership>) -> bool {
    head.is_none_or(|m| &*m.group != group || m.state == GroupState::Broken)
}

/// Returns whether a host may become a member of another group, judging by what it reports.
/// `is_over` returns whether a group in which the host is not the head has ended.
#[must_use]
pub fn may_join_another(own: Option<&Membership>, is_over: impl FnOnce(&str) -> bool) -> bool {
    own.is_none_or(|m| match m.rank {
        0 => m.state == GroupState::Broken,
        _ => is_over(&m.group),
    })
}
