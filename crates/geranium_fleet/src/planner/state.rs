//! State that the planner keeps about groups and hosts.

use std::sync::Arc;

use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;

use super::head_sighting::HeadSighting;
use super::view::GroupView;
use super::{
    GROUP_RETENTION, GroupPlanner, MAX_ADOPTED_EPOCH, PRUNE_INTERVAL, STAGING_TIMEOUT_FACTOR, guard,
};
use crate::directory::Directory;
use crate::engine_profile::EngineProfile;
use crate::host::{GroupState, Host, HostId};
use crate::order::OrderKind;

/// A host that was ordered to join a group formed by this planner.
#[derive(Clone, Debug)]
pub(super) struct FormedMember {
    pub(super) host: HostId,
    incarnation: u64,
    /// Order count for which the join holds. It is never sent for another one, so that a host
    /// joins the group once at most.
    expected_count: Option<u64>,
}

impl FormedMember {
    /// Creates a member that is ordered to join at its present order count.
    pub(super) fn new(host: &Host) -> Self {
        Self {
            host: host.id.clone(),
            incarnation: host.incarnation,
            expected_count: host.group.order_count(),
        }
    }

    /// Returns whether the join may be sent to the host again.
    pub(super) fn may_still_join(&self, host: &Host) -> bool {
        let count = host.group.order_count();
        host.incarnation == self.incarnation && count.is_some() && count == self.expected_count
    }
}

/// A group formed by this planner.
#[derive(Clone, Debug)]
pub(super) struct FormedGroup {
    pub(super) model: Arc<str>,
    pub(super) epoch: u64,
    /// Members; the first is the head.
    pub(super) members: Vec<FormedMember>,
    pub(super) at: Timestamp,
    /// Whether an order to open the group was sent.
    pub(super) open_sent: bool,
    /// Whether the group is to be dissolved.
    pub(super) abandoned: bool,
}

impl FormedGroup {
    /// Returns the order to join the group.
    pub(super) fn join_order(&self, group: &Arc<str>) -> OrderKind {
        OrderKind::Join {
            group: group.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.iter().map(|m| m.host.clone()).collect(),
        }
    }
}

/// The last order to a host, which gets no further one for now.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    /// Incarnation of the host.
    pub(super) incarnation: u64,
    /// When the wait for the order ends.
    pub(super) until: Timestamp,
    pub(super) order: OrderKind,
    /// Whether the host confirmed that it has begun the order.
    pub(super) begun: bool,
}

impl PendingOrder {
    /// Returns whether the host may not have acted on the order yet, as far as is known.
    pub(super) fn is_awaited(&self, host: &Host, now: Timestamp) -> bool {
        if self.begun {
            !self.is_applied(host)
        } else {
            now < self.until
        }
    }

    /// Returns whether what is known of the host contains the effect of the order.
    fn is_applied(&self, host: &Host) -> bool {
        let membership = host.membership();
        let state_in = |name: &Arc<str>| membership.filter(|m| m.group == *name).map(|m| m.state);
        match &self.order {
            OrderKind::Join { group, .. } => state_in(group).is_some(),
            OrderKind::Open { group, .. } => state_in(group) != Some(GroupState::Ready),
            OrderKind::Close { group, .. } => state_in(group) != Some(GroupState::Open),
            OrderKind::Leave { group, .. } => state_in(group).is_none(),
            // A load runs beside other work; the wait for it ends with the answer.
            OrderKind::Stage { .. } => false,
        }
    }
}

/// The last group that a host reported.
#[derive(Clone, Debug)]
pub(super) struct LastGroup {
    /// Incarnation of the host.
    pub(super) incarnation: u64,
    /// Model of the group, which the host can join again at once.
    pub(super) model: Option<Arc<str>>,
}

/// Weights that a host was ordered to load.
#[derive(Clone, Debug)]
pub(super) struct Staging {
    /// Incarnation of the host.
    pub(super) incarnation: u64,
    pub(super) model: Arc<str>,
    /// When the order was issued.
    pub(super) at: Timestamp,
}

impl GroupPlanner {
    /// Updates the state from the reports of the hosts.
    pub(super) fn observe(&mut self, hosts: &[&Host], views: &[GroupView<'_>], now: Timestamp) {
        self.adopt_epoch(views);
        for view in views {
            self.first_seen.entry(view.group.clone()).or_insert(now);
            if let Some(sighting) = view.head().and_then(HeadSighting::of) {
                self.group_heads.insert(view.group.clone(), sighting);
            }
        }
        for host in hosts {
            self.observe_host(host, now);
        }
        let dead_hosts = &mut self.dead_hosts;
        dead_hosts.retain(|_, (_, until)| now < *until);
        self.prune(hosts, views, now);
    }

    /// Continues after the epochs that hosts show at the first plan.
    ///
    /// Later ones are of another manager. If that is a newer one, hosts have to refuse the joins
    /// of this one; otherwise they refuse a join once, and the epoch is raised then.
    fn adopt_epoch(&mut self, views: &[GroupView<'_>]) {
        if std::mem::replace(&mut self.has_adopted_epoch, true) {
            return;
        }
        let epochs = views.iter().map(|v| v.epoch.min(MAX_ADOPTED_EPOCH));
        self.epoch = self.epoch.max(epochs.max().unwrap_or(0));
    }

    /// Removes groups that no host has reported for a while, and hosts that are gone.
    fn prune(&mut self, hosts: &[&Host], views: &[GroupView<'_>], now: Timestamp) {
        if now.since(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let reported: HashSet<&Arc<str>> = views.iter().map(|v| &v.group).collect();
        let listed: HashSet<&HostId> = hosts.iter().map(|h| &h.id).collect();
        let recent = |at: Timestamp| now.since(at) < GROUP_RETENTION;
        self.formed_groups
            .retain(|g, f| reported.contains(g) || recent(f.at));
        self.first_seen
            .retain(|g, at| reported.contains(g) || recent(*at));
        let first_seen = &self.first_seen;
        self.group_heads.retain(|g, _| first_seen.contains_key(g));
        self.last_groups.retain(|id, _| listed.contains(id));
        self.pending_orders.retain(|id, _| listed.contains(id));
        self.staging.retain(|id, _| listed.contains(id));
        self.hosts_to_query.retain(|id, _| listed.contains(id));
    }

    /// Ends the wait for an order whose effect the host reports. A host that has begun the
    /// order but does not report the effect in time is queried.
    fn review_pending_order(&mut self, host: &Host, now: Timestamp) {
        let Some(pending) = self.pending_orders.get(&host.id) else {
            return;
        };
        let expired = now >= pending.until;
        let is_shown = pending.is_applied(host) && host.group.is_shown();
        let is_over = pending.incarnation != host.incarnation || is_shown;
        if is_over || (expired && !pending.begun) {
            self.pending_orders.remove(&host.id);
        } else if expired {
            self.hosts_to_query.entry(host.id.clone()).or_insert(now);
        }
    }

    fn observe_host(&mut self, host: &Host, now: Timestamp) {
        self.review_pending_order(host, now);
        if host.group.order_count().is_none() {
            self.hosts_to_query.entry(host.id.clone()).or_insert(now);
        }
        if self
            .staging
            .get(&host.id)
            .is_some_and(|s| s.incarnation != host.incarnation || host.has_staged(&s.model))
        {
            self.staging.remove(&host.id);
        }
        let known = self.last_groups.get(&host.id);
        if known.is_none_or(|k| k.incarnation != host.incarnation) {
            let last = LastGroup {
                incarnation: host.incarnation,
                model: None,
            };
            self.last_groups.insert(host.id.clone(), last);
            self.newest_host_at = now;
        }
        let Some(membership) = host.membership() else {
            return;
        };
        if membership.state == GroupState::Joining {
            return;
        }
        let formed = self.formed_groups.get(&membership.group).map(|f| &f.model);
        let model = formed.or(host.model.as_ref()).cloned();
        if let (Some(last), Some(model)) = (self.last_groups.get_mut(&host.id), model) {
            last.model = Some(model);
        }
    }

    /// Returns the model that a host can join again at once.
    pub(super) fn last_model<'a>(&'a self, host: &'a Host) -> Option<&'a Arc<str>> {
        let last = self.last_groups.get(&host.id);
        let ordered = last
            .filter(|l| l.incarnation == host.incarnation)?
            .model
            .as_ref();
        // Groups that another manager formed and dissolved are known only from the host's
        // reports.
        ordered.or(host.last_model.as_ref())
    }

    /// Returns the model whose weights a host is loading beside its work.
    pub(super) fn staging_model(
        &self,
        host: &Host,
        profile: &EngineProfile,
        now: Timestamp,
    ) -> Option<&Arc<str>> {
        let staging = self
            .staging
            .get(&host.id)
            .filter(|s| s.incarnation == host.incarnation)?;
        let limit = profile.model(&staging.model)?.load_time * STAGING_TIMEOUT_FACTOR;
        (now.since(staging.at) <= limit).then_some(&staging.model)
    }

    /// Returns whether a host may become a member of another group.
    pub(super) fn is_free(&self, host: &Host, directory: &Directory, now: Timestamp) -> bool {
        if !self.is_alive(host, now) || self.is_busy(host, now) {
            return false;
        }
        let is_over = |group: &str| self.is_group_over(group, directory);
        guard::may_join_another(host.membership(), is_over)
    }

    /// Returns whether the head of a group certainly no longer serves it.
    fn is_group_over(&self, group: &str, directory: &Directory) -> bool {
        if self.never_opened(group) {
            return self.formed_groups.get(group).is_some_and(|f| f.abandoned);
        }
        let sighting = self.group_heads.get(group);
        sighting.is_some_and(|s| s.shows_end(group, directory.get(&s.host)))
    }
}
