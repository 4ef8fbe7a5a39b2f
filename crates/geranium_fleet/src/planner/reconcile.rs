//! Opens, repairs and dissolves the groups that hosts report.

use geranium_core::time::Timestamp;

use super::view::GroupView;
use super::{ADOPTION_TIMEOUT, FORMATION_TIMEOUT, GroupPlanner, guard, order_to};
use crate::directory::Directory;
use crate::engine_profile::EngineProfile;
use crate::host::{GroupState, Host, HostState};
use crate::order::{HostOrder, OrderKind};

impl GroupPlanner {
    /// Issues the orders for one group that hosts report.
    pub(super) fn reconcile_group(
        &mut self,
        view: &GroupView<'_>,
        directory: &Directory,
        profile: &EngineProfile,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(head) = view.head() else {
            self.dissolve_headless(view, now, orders);
            return;
        };
        let head_state = head.group_state();
        if head_state == Some(GroupState::Broken) || self.is_busy(head, now) {
            return;
        }
        if self.is_dead(head, now) {
            self.dissolve_headless(view, now, orders);
            return;
        }
        if self.standby_groups.contains(&view.group) {
            self.end_standby(view, head, now, orders);
            return;
        }
        let size = self.group_size(view, profile);
        let complete = size == Some(view.members.len());
        let all_alive = view.members.values().all(|h| self.is_alive(h, now));
        let abandoned = self
            .formed_groups
            .get(&view.group)
            .is_some_and(|f| f.abandoned);
        if complete && all_alive && !abandoned {
            self.open_if_ready(view, head, orders);
            return;
        }
        let is_draining = view
            .members
            .values()
            .any(|h| h.state == HostState::Draining);
        let has_lost_member = !complete || view.members.values().any(|h| self.is_dead(h, now));
        if is_draining && !has_lost_member && head_state == Some(GroupState::Open) {
            orders.push(order_to(head, view.close_order()));
            return;
        }
        if is_draining && !has_lost_member && head_state == Some(GroupState::Closing) {
            return;
        }
        if !complete && !abandoned && self.is_forming(view, now) {
            self.resend_joins(view, directory, now, orders);
            return;
        }
        orders.push(order_to(head, view.leave_order()));
    }

    /// Opens a group once all members report to be ready.
    fn open_if_ready(&mut self, view: &GroupView<'_>, head: &Host, orders: &mut Vec<HostOrder>) {
        if self
            .reclaims
            .values()
            .any(|r| r.groups.contains(&view.group))
        {
            if head
                .membership()
                .is_some_and(|m| m.state == GroupState::Ready)
            {
                orders.push(order_to(head, view.leave_order()));
            }
            return;
        }
        let members = view.members.values().filter_map(|h| h.membership());
        if guard::may_open(view.members.len(), members) {
            if !self.formed_groups.contains_key(&view.group) {
                // Orders of the manager that formed it may be on their way to its members and
                // would still fit: opening the group changes the order count of the head only.
                orders.push(order_to(head, view.leave_order()));
                return;
            }
            let kind = OrderKind::Open {
                group: view.group.clone(),
                epoch: view.epoch,
            };
            if let Some(formed) = self.formed_groups.get_mut(&view.group) {
                formed.open_sent = true;
            }
            orders.push(order_to(head, kind));
        }
    }

    /// Orders the members of a group whose head does not respond to leave. The head may
    /// still run where it cannot be reached, but cannot serve without members.
    fn dissolve_headless(
        &mut self,
        view: &GroupView<'_>,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        let known_dead_head = view.head().is_some_and(|h| self.is_dead(h, now));
        if !known_dead_head && self.is_forming(view, now) {
            return;
        }
        let members = view.members.iter().filter(|(rank, _)| **rank > 0);
        let reachable = members.filter(|(_, h)| self.is_alive(h, now) && !self.is_busy(h, now));
        orders.extend(reachable.map(|(_, member)| order_to(member, view.leave_order())));
    }

    /// Resends the join to members that do not report it yet.
    fn resend_joins(
        &self,
        view: &GroupView<'_>,
        directory: &Directory,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(formed) = self.formed_groups.get(&view.group) else {
            return;
        };
        for member in &formed.members {
            let host = directory.get(&member.host);
            let Some(host) = host.filter(|h| member.may_still_join(h)) else {
                continue;
            };
            let joined = host.membership().is_some_and(|m| m.group == view.group);
            // A delayed order of an earlier manager may have made it a member elsewhere.
            if joined || !self.is_free(host, directory, now) {
                continue;
            }
            orders.push(order_to(host, formed.join_order(&view.group)));
        }
    }

    /// Returns whether members of a group may still be about to join it.
    fn is_forming(&self, view: &GroupView<'_>, now: Timestamp) -> bool {
        if let Some(formed) = self.formed_groups.get(&view.group) {
            return now.since(formed.at) < FORMATION_TIMEOUT && !formed.open_sent;
        }
        let first_seen = self.first_seen.get(&view.group).copied().unwrap_or(now);
        now.since(first_seen) < ADOPTION_TIMEOUT
    }

    pub(super) fn group_size(
        &self,
        view: &GroupView<'_>,
        profile: &EngineProfile,
    ) -> Option<usize> {
        if let Some(formed) = self.formed_groups.get(&view.group) {
            return Some(formed.members.len());
        }
        let model = view.model()?;
        profile.model(model).map(|m| m.group_size)
    }

    /// Returns whether no order to open the group can be in transit.
    pub(super) fn never_opened(&self, group: &str) -> bool {
        self.formed_groups.get(group).is_some_and(|f| !f.open_sent)
    }
}
