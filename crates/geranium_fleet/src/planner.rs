//! Decides which groups are formed, opened and dissolved, and issues the orders for it.
//!
//! Nobody checks fencing numbers, so safety rests on three rules: each order names the
//! number of orders that the host must have begun, so that a delayed order is refused; a
//! group is opened only after every member reported to be ready under the group's name,
//! epoch and member list; and a member becomes free for another group only when the head of
//! its group certainly no longer serves.

mod formation;
pub mod guard;
mod reclaim;
mod spares;
mod staging;
mod state;
mod view;

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;

use crate::directory::Directory;
use crate::engine_profile::EngineProfile;
use crate::host::{GroupState, Host, HostId, HostState};
use crate::order::{HostOrder, OrderAnswer, OrderKind, OrderReply};
use crate::rate_limiter::RateLimiter;

use reclaim::Reclaim;
use state::{FormedGroup, LastGroup, PendingOrder, Staging};
use view::GroupView;

/// How long a host gets no further order while its last one has no visible effect.
const PENDING_ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a host's report shows what an order began. For so long a host gets no
/// order after it refused one, and its order count is not queried.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a host that did not report its order count is queried again.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Time during which joins are resent to the missing members of a new group.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a group that another manager formed may stay incomplete.
const ADOPTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// If no new host appears for this long, a new system has discovered all of its hosts.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Maximum time that a new system waits for further hosts.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// A host may be ordered to load again after this multiple of the model's load time.
const STAGING_TIMEOUT_FACTOR: u32 = 2;
/// How long a host that did not respond is considered dead.
const DEAD_HOST_RETENTION: Duration = Duration::from_secs(8);
/// How long a group that no host reports is kept; longer than an order may be in transit.
const GROUP_RETENTION: Duration = Duration::from_secs(60);
/// Minimum interval between two removals of outdated state.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Increment of the epoch after a host rejected one as too low.
const EPOCH_STEP: u64 = 1_000_000;
/// Highest epoch that is taken over from a group that hosts report. An odd one must not end the
/// supply: up to the largest number that JSON holds exactly there are as many again.
const MAX_ADOPTED_EPOCH: u64 = 1 << 52;

/// Settings of a [`GroupPlanner`].
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Prefix of group names that no other manager uses.
    pub nonce: String,
    /// Window of the rate limit on loads from the weight store.
    pub load_window: Duration,
}

/// Forms, opens and dissolves the groups of one service.
#[derive(Debug)]
pub struct GroupPlanner {
    settings: PlannerSettings,
    started_at: Timestamp,
    newest_host_at: Timestamp,
    pruned_at: Timestamp,
    next_group: u64,
    epoch: u64,
    formed_groups: HashMap<Arc<str>, FormedGroup>,
    first_seen: HashMap<Arc<str>, Timestamp>,
    group_heads: HashMap<Arc<str>, HostId>,
    last_groups: HashMap<HostId, LastGroup>,
    pending_orders: HashMap<HostId, PendingOrder>,
    staging: HashMap<HostId, Staging>,
    reclaims: HashMap<Arc<str>, Reclaim>,
    dead_hosts: HashMap<HostId, (u64, Timestamp)>,
    hosts_to_query: HashMap<HostId, Timestamp>,
    load_limiter: RateLimiter,
}

impl GroupPlanner {
    /// Creates a planner without any state.
    #[must_use]
    pub fn new(settings: PlannerSettings, now: Timestamp) -> Self {
        let load_limiter = RateLimiter::new(settings.load_window);
        Self {
            settings,
            started_at: now,
            newest_host_at: now,
            pruned_at: now,
            next_group: 0,
            epoch: 0,
            formed_groups: HashMap::default(),
            first_seen: HashMap::default(),
            group_heads: HashMap::default(),
            last_groups: HashMap::default(),
            pending_orders: HashMap::default(),
            staging: HashMap::default(),
            reclaims: HashMap::default(),
            dead_hosts: HashMap::default(),
            hosts_to_query: HashMap::default(),
            load_limiter,
        }
    }

    /// Returns the orders that are due now.
    ///
    /// `shares` holds each model's share of the work, in the order of the profile;
    /// `has_traffic` indicates whether any request has arrived yet.
    pub fn plan(
        &mut self,
        directory: &Directory,
        service: &str,
        profile: &EngineProfile,
        shares: &[f64],
        has_traffic: bool,
        now: Timestamp,
    ) -> Vec<HostOrder> {
        let hosts = directory.of_service(service);
        let views = view::collect(&hosts);
        self.observe(&hosts, &views, now);
        let mut orders = Vec::new();
        for view in &views {
            self.reconcile_group(view, directory, profile, now, &mut orders);
        }
        if !self.is_discovering_hosts(&views, now) {
            let mut formation = self.compute_formation(
                (&hosts, directory),
                &views,
                profile,
                shares,
                has_traffic,
                now,
            );
            self.reclaim(&hosts, &views, directory, &formation, &mut orders);
            self.form_groups(&hosts, directory, &mut formation, &mut orders);
            self.stage(&hosts, directory, &mut formation, &mut orders);
        }
        orders.retain(|o| {
            directory
                .get(&o.host)
                .is_some_and(|h| h.orders_begun.is_some())
        });
        for order in &orders {
            let pending = PendingOrder {
                incarnation: order.incarnation,
                until: now + PENDING_ORDER_TIMEOUT,
                order: order.kind.clone(),
                begun: false,
            };
            self.pending_orders.insert(order.host.clone(), pending);
        }
        orders
    }

    /// Records the answer to an order, also in the directory.
    ///
    /// A host that asked for a pause gets no order until the pause ends.
    pub fn record_answer(
        &mut self,
        order: &HostOrder,
        reply: OrderReply,
        directory: &mut Directory,
        now: Timestamp,
    ) {
        let answer = reply.answer;
        if matches!(answer, OrderAnswer::Begun | OrderAnswer::Done)
            && !directory.record_accepted_order(order, answer)
        {
            self.hosts_to_query
                .insert(order.host.clone(), now + REPORT_DELAY);
        }
        let is_load = matches!(order.kind, OrderKind::Stage { .. });
        if let Some(pending) = self.pending_orders.get_mut(&order.host) {
            match answer {
                OrderAnswer::Begun | OrderAnswer::Done if is_load => pending.until = now,
                OrderAnswer::Begun | OrderAnswer::Done => {
                    pending.until = now + PENDING_ORDER_TIMEOUT;
                    pending.begun = true;
                }
                OrderAnswer::Unknown => pending.until = now + PENDING_ORDER_TIMEOUT,
                OrderAnswer::Conflict => pending.until = now + REPORT_DELAY,
                _ => pending.until = now + reply.notice.pause.unwrap_or_default(),
            }
        }
        match (&order.kind, answer) {
            (_, OrderAnswer::Conflict) => {
                self.staging.remove(&order.host);
                self.hosts_to_query
                    .insert(order.host.clone(), now + REPORT_DELAY);
            }
            (OrderKind::Join { group, .. }, OrderAnswer::Outdated) => {
                self.epoch += EPOCH_STEP;
                if let Some(formed) = self.formed_groups.get_mut(group) {
                    formed.abandoned = true;
                }
            }
            _ => {}
        }
    }

    /// Returns the hosts whose order count has to be queried now.
    pub fn take_hosts_to_query(&mut self, now: Timestamp) -> Vec<HostId> {
        let due = self.hosts_to_query.iter().filter(|(_, at)| now >= **at);
        let due: Vec<HostId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            // The host is queried again if it does not answer in time.
            self.hosts_to_query
                .insert(id.clone(), now + QUERY_RETRY_INTERVAL);
        }
        due
    }

    /// Records that a host's order count is known and consistent with the known group.
    pub fn confirm_order_count(&mut self, id: &str, now: Timestamp) {
        self.hosts_to_query.remove(id);
        if self
            .pending_orders
            .get(id)
            .is_some_and(|pending| now >= pending.until)
        {
            self.pending_orders.remove(id);
        }
    }

    /// Marks a host that did not respond as dead.
    pub fn mark_dead(&mut self, id: &HostId, incarnation: u64, now: Timestamp) {
        self.dead_hosts
            .insert(id.clone(), (incarnation, now + DEAD_HOST_RETENTION));
    }

    /// Returns the hosts that have an order to carry out or whose group is not open. They
    /// are queried directly while their entries cannot be read.
    #[must_use]
    pub fn in_transition<'a>(
        &self,
        directory: &'a Directory,
        service: &str,
        now: Timestamp,
    ) -> Vec<&'a Host> {
        let mut hosts = directory.of_service(service);
        let views = view::collect(&hosts);
        let open_groups: HashSet<Arc<str>> = views
            .iter()
            .filter(|v| v.head().is_some_and(Host::is_open_head))
            .map(|v| v.group.clone())
            .collect();
        hosts.retain(|h| {
            let has_pending_order = self
                .pending_orders
                .get(&h.id)
                .is_some_and(|pending| pending.begun || now < pending.until);
            let in_closed_group = h
                .membership
                .as_ref()
                .is_some_and(|m| !open_groups.contains(&m.group));
            has_pending_order || in_closed_group
        });
        hosts
    }

    /// Returns the number of tracked groups.
    #[must_use]
    pub fn tracked_groups(&self) -> usize {
        self.formed_groups
            .len()
            .max(self.first_seen.len())
            .max(self.group_heads.len())
    }

    fn is_dead(&self, host: &Host, now: Timestamp) -> bool {
        let mark = self.dead_hosts.get(&host.id);
        mark.is_some_and(|(incarnation, until)| *incarnation == host.incarnation && now < *until)
    }

    fn is_alive(&self, host: &Host, now: Timestamp) -> bool {
        host.state == HostState::Ready && !self.is_dead(host, now)
    }

    /// Returns whether an order to the host is in transit, its last order has not taken
    /// visible effect, or its order count has to be queried.
    fn is_busy(&self, host: &Host, now: Timestamp) -> bool {
        let pending = self
            .pending_orders
            .get(&host.id)
            .filter(|p| p.incarnation == host.incarnation);
        pending.is_some_and(|p| p.begun || now < p.until) || host.orders_begun.is_none()
    }

    fn is_discovering_hosts(&self, views: &[GroupView<'_>], now: Timestamp) -> bool {
        let found_recently = now.since(self.newest_host_at) < DISCOVERY_QUIET_PERIOD;
        views.is_empty() && found_recently && now.since(self.started_at) < MAX_DISCOVERY_TIME
    }

    /// Issues the orders for one group that hosts report.
    fn reconcile_group(
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
        let head_state = head.membership.as_ref().map(|m| m.state);
        if head_state == Some(GroupState::Broken) || self.is_busy(head, now) {
            return;
        }
        if self.is_dead(head, now) {
            self.dissolve_headless(view, now, orders);
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
                .membership
                .as_ref()
                .is_some_and(|m| m.state == GroupState::Ready)
            {
                orders.push(order_to(head, view.leave_order()));
            }
            return;
        }
        let members = view.members.values().filter_map(|h| h.membership.as_ref());
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
        for (id, incarnation) in &formed.members {
            let Some(host) = directory.get(id).filter(|h| h.incarnation == *incarnation) else {
                continue;
            };
            let joined = host
                .membership
                .as_ref()
                .is_some_and(|m| m.group == view.group);
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

    fn group_size(&self, view: &GroupView<'_>, profile: &EngineProfile) -> Option<usize> {
        if let Some(formed) = self.formed_groups.get(&view.group) {
            return Some(formed.members.len());
        }
        let model = view.model()?;
        profile.model(model).map(|m| m.group_size)
    }

    /// Returns whether no order to open the group can be in transit.
    fn never_opened(&self, group: &str) -> bool {
        self.formed_groups.get(group).is_some_and(|f| !f.open_sent)
    }
}

/// Creates an order that is valid only for the current state of the host.
fn order_to(host: &Host, kind: OrderKind) -> HostOrder {
    HostOrder {
        host: host.id.clone(),
        incarnation: host.incarnation,
        address: host.address,
        expected_count: host.orders_begun.unwrap_or(0),
        kind,
    }
}
