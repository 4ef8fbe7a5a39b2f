//! When the head of a group was known to be in it.

use super::guard;
use crate::host::{Host, HostId};

/// The head of a group, at an order count at which it was in the group.
#[derive(Clone, Debug)]
pub(super) struct HeadSighting {
    pub(super) host: HostId,
    incarnation: u64,
    order_count: u64,
}

impl HeadSighting {
    /// Returns the sighting of a head whose order count is known.
    ///
    /// One without a count proves nothing: a report of a head without a group may be from before
    /// the head joined the group that its entry shows.
    pub(super) fn of(head: &Host) -> Option<Self> {
        Some(Self {
            host: head.id.clone(),
            incarnation: head.incarnation,
            order_count: head.group.order_count()?,
        })
    }

    /// Returns whether the head certainly no longer serves the group: it is not in the group and
    /// has begun a further order or started anew since, or the group is broken.
    ///
    /// A head that has started anew may serve the group once more, by orders that its former
    /// incarnation was sent.
    pub(super) fn shows_end(&self, group: &str, head: Option<&Host>) -> bool {
        let Some(head) = head.filter(|h| h.incarnation >= self.incarnation) else {
            return false;
        };
        let is_over = guard::is_group_over(group, head.membership());
        let is_member = head.membership().is_some_and(|m| &*m.group == group);
        let order_count = head.group.order_count();
        let is_later = order_count
            .is_some_and(|c| (head.incarnation, c) > (self.incarnation, self.order_count));
        is_over && (is_member || is_later)
    }
}
