//! Decides which groups are formed, opened and dissolved, and issues the orders for it.
//!
//! Nobody checks fencing numbers, so safety rests on three rules: each order names the
//! number of orders that the host had begun when it was in the group on which the order was
//! decided, so that a delayed order is refused, and one that rests on an outdated group; a
//! group is opened only after every member reported to be ready under the group's name,
//! epoch and member list; and a member becomes free for another group only when the head of
//! its group certainly no longer serves.

mod formation;
pub mod guard;
mod head_sighting;
mod hold;
mod load_rank;
mod reclaim;
mod reconcile;
mod spares;
mod staging;
mod standby;
mod state;
mod supply;
mod view;

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;

use crate::directory::Directory;
use crate::engine_profile::EngineProfile;
use crate::host::{Host, HostId, HostState};
use crate::order::{HostOrder, OrderAnswer, OrderKind, OrderReply};
use crate::rate_limiter::RateLimiter;

use head_sighting::HeadSighting;
use reclaim::Reclaim;
use state::{FormedGroup, LastGroup, PendingOrder, Staging};
use view::GroupView;

pub use supply::ModelSupply;

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
    /// Epoch above those of the joins that earlier managers ordered: a host refuses these joins
    /// once it is in a group of this manager.
    pub first_epoch: u64,
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
    has_adopted_epoch: bool,
    formed_groups: HashMap<Arc<str>, FormedGroup>,
    first_seen: HashMap<Arc<str>, Timestamp>,
    group_heads: HashMap<Arc<str>, HeadSighting>,
    last_groups: HashMap<HostId, LastGroup>,
    pending_orders: HashMap<HostId, PendingOrder>,
    staging: HashMap<HostId, Staging>,
    reclaims: HashMap<Arc<str>, Reclaim>,
    /// Fabric domains whose free hosts are kept for one model, and since when.
    holds: HashMap<Arc<str>, Timestamp>,
    favours_deficits: bool,
    dead_hosts: HashMap<HostId, (u64, Timestamp)>,
    hosts_to_query: HashMap<HostId, Timestamp>,
    load_limiter: RateLimiter,
    /// Standby groups that hosts reported in the last plan.
    standby_groups: HashSet<Arc<str>>,
    standby: bool,
    standby_paused: bool,
    supply_requested: bool,
    supply: Vec<ModelSupply>,
}

impl GroupPlanner {
    /// Creates a planner without any state.
    #[must_use]
    pub fn new(settings: PlannerSettings, now: Timestamp) -> Self {
        let load_limiter = RateLimiter::new(settings.load_window);
        let epoch = settings.first_epoch.min(MAX_ADOPTED_EPOCH);
        Self {
            settings,
            started_at: now,
            newest_host_at: now,
            pruned_at: now,
            next_group: 0,
            epoch,
            has_adopted_epoch: false,
            formed_groups: HashMap::default(),
            first_seen: HashMap::default(),
            group_heads: HashMap::default(),
            last_groups: HashMap::default(),
            pending_orders: HashMap::default(),
            staging: HashMap::default(),
            reclaims: HashMap::default(),
            holds: HashMap::default(),
            favours_deficits: false,
            dead_hosts: HashMap::default(),
            hosts_to_query: HashMap::default(),
            load_limiter,
            standby_groups: HashSet::default(),
            standby: false,
            standby_paused: false,
            supply_requested: false,
            supply: Vec::new(),
        }
    }

    /// Sets whether scarce loads and free hosts go first to models below their share.
    pub const fn set_favours_deficits(&mut self, favours_deficits: bool) {
        self.favours_deficits = favours_deficits;
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
        self.observe_standby(&views, profile);
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
            if std::mem::take(&mut self.supply_requested) {
                self.record_supply(&hosts, &views, directory, &formation);
            }
            self.reclaim(&hosts, &views, directory, &formation, &mut orders);
            let held = self.hold_domains(&hosts, &views, directory, &formation);
            self.form_groups(&hosts, directory, &held, &mut formation, &mut orders);
            self.stage(&hosts, directory, &mut formation, &mut orders);
            self.begin_standby(&hosts, &views, directory, &formation, &mut orders);
        }
        orders.retain(|o| {
            directory
                .get(&o.host)
                .is_some_and(|h| h.group.order_count().is_some())
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
        // A host that has seen a higher epoch has had orders of another manager.
        let is_contradicted = matches!(answer, OrderAnswer::Conflict | OrderAnswer::Outdated);
        if is_contradicted {
            directory.record_conflict(order);
            self.staging.remove(&order.host);
            self.hosts_to_query
                .insert(order.host.clone(), now + REPORT_DELAY);
        }
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
                _ if is_contradicted => pending.until = now + REPORT_DELAY,
                _ => pending.until = now + reply.notice.pause.unwrap_or_default(),
            }
        }
        if let (OrderKind::Join { group, epoch, .. }, OrderAnswer::Outdated) = (&order.kind, answer)
        {
            // Once for all members of the group.
            self.epoch = self.epoch.max(epoch + EPOCH_STEP);
            if let Some(formed) = self.formed_groups.get_mut(group) {
                formed.abandoned = true;
            }
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
                .membership()
                .is_some_and(|m| !open_groups.contains(&m.group));
            has_pending_order || in_closed_group
        });
        hosts
    }

    /// Returns the head of a group, if it was seen in it.
    #[must_use]
    pub fn head_of(&self, group: &str) -> Option<&HostId> {
        self.group_heads.get(group).map(|s| &s.host)
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
        pending.is_some_and(|p| p.is_awaited(host, now)) || host.group.order_count().is_none()
    }

    fn is_discovering_hosts(&self, views: &[GroupView<'_>], now: Timestamp) -> bool {
        let found_recently = now.since(self.newest_host_at) < DISCOVERY_QUIET_PERIOD;
        views.is_empty() && found_recently && now.since(self.started_at) < MAX_DISCOVERY_TIME
    }
}

/// Creates an order that is valid only for the current state of the host.
fn order_to(host: &Host, kind: OrderKind) -> HostOrder {
    HostOrder {
        host: host.id.clone(),
        incarnation: host.incarnation,
        address: host.address,
        expected_count: host.group.order_count().unwrap_or(0),
        kind,
    }
}
