//! What the planner remembers of groups and hosts.

use std::sync::Arc;

use geranium_core::time::Timestamp;

use super::view::GroupView;
use super::{GroupPlanner, STALL_MARGIN};
use crate::directory::Directory;
use crate::host::{GroupState, Host, HostId};
use crate::order::OrderKind;

/// A group that this planner has formed.
#[derive(Clone, Debug)]
pub(super) struct Formed {
    /// Model.
    pub(super) model: Arc<str>,
    /// Epoch.
    pub(super) epoch: u64,
    /// Members with their lives; the first is the head.
    pub(super) members: Vec<(HostId, u64)>,
    /// When it was formed.
    pub(super) at: Timestamp,
    /// Whether an order to open it was sent.
    pub(super) open_sent: bool,
    /// Whether it is to be dissolved.
    pub(super) abandoned: bool,
}

impl Formed {
    /// Returns the order to join the group.
    pub(super) fn join(&self, group: &Arc<str>) -> OrderKind {
        OrderKind::Join {
            group: group.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.iter().map(|(id, _)| id.clone()).collect(),
        }
    }
}

/// A host that gets no order for a while.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// Life of the host.
    pub(super) born: u64,
    /// End of the hold.
    pub(super) until: Timestamp,
    /// The order.
    pub(super) order: OrderKind,
}

impl Held {
    /// Returns whether what a host reports shows the effect of the order.
    fn is_reported(&self, host: &Host) -> bool {
        let membership = host.membership.as_ref();
        let state_in = |name: &Arc<str>| membership.filter(|m| m.group == *name).map(|m| m.state);
        match &self.order {
            OrderKind::Join { group, .. } => state_in(group).is_some(),
            OrderKind::Open { group, .. } => state_in(group) != Some(GroupState::Ready),
            OrderKind::Close { group, .. } => state_in(group) != Some(GroupState::Open),
            OrderKind::Leave { group, .. } => state_in(group).is_none(),
            OrderKind::Stage { .. } => true,
        }
    }
}

/// The last group that a host reported.
#[derive(Clone, Debug)]
pub(super) struct LastGroup {
    /// Life of the host.
    pub(super) born: u64,
    /// The group, or `None` if it reported none since it was first seen.
    pub(super) group: Option<Arc<str>>,
    /// Whether it was the head.
    pub(super) was_head: bool,
    /// When the host was first seen in this life.
    pub(super) first_seen: Timestamp,
}

impl GroupPlanner {
    /// Takes in what hosts report.
    pub(super) fn remember(&mut self, hosts: &[&Host], views: &[GroupView<'_>], now: Timestamp) {
        for view in views {
            self.epoch = self.epoch.max(view.epoch);
            self.first_seen.entry(view.group.clone()).or_insert(now);
            if let Some(head) = view.head() {
                self.heads.insert(view.group.clone(), head.id.clone());
            }
        }
        for host in hosts {
            self.remember_host(host, now);
        }
        let dead = &mut self.dead;
        dead.retain(|_, (_, until)| now < *until);
    }

    fn remember_host(&mut self, host: &Host, now: Timestamp) {
        if let Some(held) = self.held.get(&host.id)
            && (held.born != host.born || now >= held.until || held.is_reported(host))
        {
            self.held.remove(&host.id);
        }
        if host.orders_begun.is_none() {
            self.stale.entry(host.id.clone()).or_insert(now);
        }
        let known = self.last_groups.get(&host.id);
        if known.is_none_or(|k| k.born != host.born) {
            let last = LastGroup {
                born: host.born,
                group: None,
                was_head: false,
                first_seen: now,
            };
            self.last_groups.insert(host.id.clone(), last);
            self.newest_host_at = now;
        }
        if let Some(membership) = &host.membership
            && let Some(last) = self.last_groups.get_mut(&host.id)
        {
            last.group = Some(membership.group.clone());
            last.was_head = membership.rank == 0;
        }
    }

    /// Returns whether a host may become a member of another group.
    pub(super) fn is_free(&self, host: &Host, directory: &Directory, now: Timestamp) -> bool {
        if !self.is_alive(host, now) || self.is_held(host, now) {
            return false;
        }
        if let Some(membership) = &host.membership {
            return match (membership.rank, membership.state) {
                (0, state) => state == GroupState::Broken,
                _ => self.is_group_over(&membership.group, directory, now),
            };
        }
        let Some(last) = self.last_groups.get(&host.id) else {
            return false;
        };
        match &last.group {
            _ if last.was_head => true,
            Some(group) => self.is_group_over(group, directory, now),
            // The host refuses the order if the count is wrong.
            None if host.orders_begun == Some(0) => true,
            None => now.since(last.first_seen) >= self.cfg.stall + STALL_MARGIN,
        }
    }

    /// Returns whether the head of a group certainly does not serve it any more.
    fn is_group_over(&self, group: &str, directory: &Directory, now: Timestamp) -> bool {
        if self.never_opened(group) {
            return self.formed.get(group).is_some_and(|f| f.abandoned);
        }
        let head = self.heads.get(group).and_then(|id| directory.get(id));
        if let Some(head) = head {
            let serves = head
                .membership
                .as_ref()
                .is_some_and(|m| &*m.group == group && m.state != GroupState::Broken);
            if !serves {
                return true;
            }
        }
        let released = self.released.get(group);
        released.is_some_and(|at| now.since(*at) >= self.cfg.stall + STALL_MARGIN)
    }
}
