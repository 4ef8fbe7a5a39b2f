//! Decides which groups are formed, opened and dissolved, and by which orders.
//!
//! Nobody checks fencing numbers, so that safety rests on three things: each
//! order names the count of orders that the host must have begun, so that a late
//! one is refused; a group is opened only after every member reported to be ready
//! under its name, epoch and list; and a member is free for another group only
//! when the head of its group certainly no longer serves.

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

/// Time for which a host gets no second order while the first shows no effect.
const PENDING_ORDER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a host that refused an order is left alone, as its report of the
/// count of orders lags.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(300);
/// Time after which a host that did not tell its count of orders is asked again.
const QUERY_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Time within which the missing members of a new group are asked again.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a group formed by another leader may stay incomplete.
const ADOPTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a new host after which a new system has seen them all.
const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Longest time that a new system waits for further hosts.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// Factor on the time of a load after which a host that stages is asked again.
const STAGING_TIMEOUT_FACTOR: u32 = 2;
/// Time for which a host that did not answer is taken to be dead.
const DEAD_HOST_RETENTION: Duration = Duration::from_secs(8);
/// Time for which a group that nobody reports is remembered; longer than an order may
/// be on its way.
const GROUP_RETENTION: Duration = Duration::from_secs(60);
/// Pause between two clean-ups of what is remembered.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Step of the epoch after a host refused one as too low.
const EPOCH_STEP: u64 = 1_000_000;

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Word that no other leader uses, for names of groups.
    pub nonce: String,
    /// Window of the bound on loads from the weight store.
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
    formed: HashMap<Arc<str>, FormedGroup>,
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
    /// Makes a planner that knows nothing yet.
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
            formed: HashMap::default(),
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

    /// Decides on the orders that are due.
    ///
    /// `shares` holds the share of the work of each model of the profile;
    /// `has_traffic` tells whether requests have been seen.
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

    /// Notes the answer to an order.
    ///
    /// A host that wants a pause gets no order until it ends.
    pub fn note_answer(&mut self, order: &HostOrder, reply: OrderReply, now: Timestamp) {
        let answer = reply.answer;
        let is_load = matches!(order.kind, OrderKind::Stage { .. });
        if let Some(pending) = self.pending_orders.get_mut(&order.host) {
            match answer {
                OrderAnswer::Begun | OrderAnswer::Done if is_load => pending.until = now,
                OrderAnswer::Begun | OrderAnswer::Done => {
                    pending.until = now + PENDING_ORDER_TIMEOUT;
                    pending.begun = true;
                }
                OrderAnswer::Unknown => pending.until = now + PENDING_ORDER_TIMEOUT,
                OrderAnswer::Conflict => pending.until = now + CONFLICT_BACKOFF,
                _ => pending.until = now + reply.notice.pause.unwrap_or_default(),
            }
        }
        match (&order.kind, answer) {
            (_, OrderAnswer::Conflict) => {
                self.staging.remove(&order.host);
                self.hosts_to_query
                    .insert(order.host.clone(), now + CONFLICT_BACKOFF);
            }
            (OrderKind::Join { group, .. }, OrderAnswer::Outdated) => {
                self.epoch += EPOCH_STEP;
                if let Some(formed) = self.formed.get_mut(group) {
                    formed.abandoned = true;
                }
            }
            _ => {}
        }
    }

    /// Returns the hosts whose count of orders has to be asked for now.
    pub fn take_hosts_to_query(&mut self, now: Timestamp) -> Vec<HostId> {
        let due = self.hosts_to_query.iter().filter(|(_, at)| now >= **at);
        let due: Vec<HostId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            // Asked again then if no answer comes.
            self.hosts_to_query
                .insert(id.clone(), now + QUERY_RETRY_INTERVAL);
        }
        due
    }

    /// Notes that a host told its count of orders together with the group that is
    /// known.
    pub fn note_order_count(&mut self, id: &str, now: Timestamp) {
        self.hosts_to_query.remove(id);
        if self
            .pending_orders
            .get(id)
            .is_some_and(|pending| now >= pending.until)
        {
            self.pending_orders.remove(id);
        }
    }

    /// Notes that a host answered nothing and is taken to be dead.
    pub fn mark_dead(&mut self, id: &HostId, incarnation: u64, now: Timestamp) {
        self.dead_hosts
            .insert(id.clone(), (incarnation, now + DEAD_HOST_RETENTION));
    }

    /// Returns the hosts that have an order to carry out or whose group is not open,
    /// to be asked while their entries cannot be read.
    #[must_use]
    pub fn in_transition<'a>(
        &self,
        directory: &'a Directory,
        service: &str,
        now: Timestamp,
    ) -> Vec<&'a Host> {
        let mut hosts = directory.of_service(service);
        let views = view::collect(&hosts);
        let open: HashSet<Arc<str>> = views
            .iter()
            .filter(|v| v.head().is_some_and(Host::is_open_head))
            .map(|v| v.group.clone())
            .collect();
        hosts.retain(|h| {
            let pending = self
                .pending_orders
                .get(&h.id)
                .is_some_and(|pending| pending.begun || now < pending.until);
            let closed = h
                .membership
                .as_ref()
                .is_some_and(|m| !open.contains(&m.group));
            pending || closed
        });
        hosts
    }

    /// Returns how many groups are remembered.
    #[must_use]
    pub fn tracked_groups(&self) -> usize {
        self.formed
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

    /// Returns whether a host has an order on its way, has not yet reported the
    /// effect of its last one, or has to be asked for its count of orders.
    fn is_busy(&self, host: &Host, now: Timestamp) -> bool {
        let pending = self
            .pending_orders
            .get(&host.id)
            .filter(|h| h.incarnation == host.incarnation);
        pending.is_some_and(|h| h.begun || now < h.until) || host.orders_begun.is_none()
    }

    fn is_discovering_hosts(&self, views: &[GroupView<'_>], now: Timestamp) -> bool {
        let grows = now.since(self.newest_host_at) < DISCOVERY_QUIET_PERIOD;
        views.is_empty() && grows && now.since(self.started_at) < MAX_DISCOVERY_TIME
    }

    /// Looks after one group that members report.
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
        let abandoned = self.formed.get(&view.group).is_some_and(|f| f.abandoned);
        if complete && all_alive && !abandoned {
            self.open_if_ready(view, head, orders);
            return;
        }
        let drains = view
            .members
            .values()
            .any(|h| h.state == HostState::Draining);
        let lost = !complete || view.members.values().any(|h| self.is_dead(h, now));
        if drains && !lost && head_state == Some(GroupState::Open) {
            orders.push(order_to(head, view.close_order()));
            return;
        }
        if drains && !lost && head_state == Some(GroupState::Closing) {
            return;
        }
        if !complete && !abandoned && self.is_forming(view, now) {
            self.resend_joins(view, directory, now, orders);
            return;
        }
        orders.push(order_to(head, view.leave_order()));
    }

    /// Opens a group whose members have all reported to be ready.
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
            let kind = OrderKind::Open {
                group: view.group.clone(),
                epoch: view.epoch,
            };
            if let Some(formed) = self.formed.get_mut(&view.group) {
                formed.open_sent = true;
            }
            orders.push(order_to(head, kind));
        }
    }

    /// Lets the members of a group whose head does not answer leave, as the head
    /// may still run out of reach; without members it cannot serve.
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

    /// Sends the join again to members that do not report it yet.
    fn resend_joins(
        &self,
        view: &GroupView<'_>,
        directory: &Directory,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(formed) = self.formed.get(&view.group) else {
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
            // A late order of an earlier manager may have made it a member elsewhere.
            if joined || !self.is_free(host, directory, now) {
                continue;
            }
            orders.push(order_to(host, formed.join_order(&view.group)));
        }
    }

    /// Returns whether the members of a group may still be on their way into it.
    fn is_forming(&self, view: &GroupView<'_>, now: Timestamp) -> bool {
        if let Some(formed) = self.formed.get(&view.group) {
            return now.since(formed.at) < FORMATION_TIMEOUT && !formed.open_sent;
        }
        let first_seen = self.first_seen.get(&view.group).copied().unwrap_or(now);
        now.since(first_seen) < ADOPTION_TIMEOUT
    }

    fn group_size(&self, view: &GroupView<'_>, profile: &EngineProfile) -> Option<usize> {
        if let Some(formed) = self.formed.get(&view.group) {
            return Some(formed.members.len());
        }
        let model = view.model()?;
        profile.model(model).map(|m| m.group_size)
    }

    /// Returns whether no order to open a group can be on its way.
    fn never_opened(&self, group: &str) -> bool {
        self.formed.get(group).is_some_and(|f| !f.open_sent)
    }
}

/// Addresses an order to a host in its present state.
fn order_to(host: &Host, kind: OrderKind) -> HostOrder {
    HostOrder {
        host: host.id.clone(),
        incarnation: host.incarnation,
        address: host.address,
        expected_count: host.orders_begun.unwrap_or(0),
        kind,
    }
}
