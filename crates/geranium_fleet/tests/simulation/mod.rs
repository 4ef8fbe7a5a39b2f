//! Simulated hosts that execute orders, with checks of the safety invariants.

// Each test file uses only a part of this module.
#![allow(dead_code)]

mod checks;
mod host;
mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;

use crate::engine::profile;
use crate::fixture::{group, server};
use host::{JoinedGroup, SimHost};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use store::SimStore;

/// Service of all simulated hosts.
pub const SERVICE: &str = "engines";
/// Time step of the simulation.
pub const STEP: Duration = Duration::from_millis(50);
/// Number of fabric domains in a failure domain.
const FABRIC_DOMAINS_PER_FAILURE_DOMAIN: usize = 2;
/// Time after which the group of a head that lost a member is broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which the entry of a dead host expires.
const ENTRY_LEASE: Duration = Duration::from_millis(3_600);

/// An order that is executed later.
struct DelayedOrder {
    at: Timestamp,
    order: HostOrder,
}

/// Hosts, the directory that a manager sees, and the manager.
pub struct Simulation {
    pub now: Timestamp,
    pub hosts: BTreeMap<HostId, SimHost>,
    pub directory: Directory,
    pub planner: GroupPlanner,
    pub profile: EngineProfile,
    pub shares: Vec<f64>,
    pub rng: SmallRng,
    /// Fraction of the orders that get no answer and are executed later.
    pub delayed_share: f64,
    /// Fraction of the orders that are executed at once and get no answer.
    pub lost_answer_share: f64,
    /// Time that the head of a group needs to finish its work when it closes the group.
    pub close_time: Duration,
    pub violations: Vec<String>,
    pub orders: u64,
    /// Whether managers prepare hosts without a group by standby joins.
    pub standby: bool,
    /// Joins of standby groups that were sent.
    pub standby_joins: Vec<HostOrder>,
    /// Store that shows the manager the entries of the hosts.
    pub store: SimStore,
    /// Number of steps by which reports lag behind their host.
    pub report_lag: usize,
    /// Latest reports of each host, the newest last.
    reports: BTreeMap<HostId, VecDeque<HostReport>>,
    delayed: Vec<DelayedOrder>,
    ready: BTreeSet<(Arc<str>, u64, HostId)>,
    managers: u32,
}

impl Simulation {
    /// Creates fabric domains of newly started hosts, and a first manager.
    pub fn new(seed: u64, domains: usize, hosts_each: usize, models: Vec<ModelProfile>) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let shares = models.iter().map(|m| m.initial_share).collect();
        let mut simulation = Self {
            now,
            hosts: BTreeMap::new(),
            directory: Directory::default(),
            planner: planner("m0", now),
            profile: profile(models),
            shares,
            rng: SmallRng::seed_from_u64(seed),
            delayed_share: 0.0,
            lost_answer_share: 0.0,
            close_time: Duration::ZERO,
            violations: Vec::new(),
            orders: 0,
            standby: false,
            standby_joins: Vec::new(),
            store: SimStore::default(),
            report_lag: 0,
            reports: BTreeMap::new(),
            delayed: Vec::new(),
            ready: BTreeSet::new(),
            managers: 0,
        };
        for domain in 0..domains {
            for i in 0..hosts_each {
                let id = format!("h{domain}-{i:02}");
                simulation.add_host(&id, &format!("fabric-{domain}"));
                simulation.set_failure_domain(
                    &id,
                    &format!("zone-{}", domain / FABRIC_DOMAINS_PER_FAILURE_DOMAIN),
                );
            }
        }
        simulation
    }

    /// Adds a host without weights.
    pub fn add_host(&mut self, id: &str, domain: &str) {
        let host = Host {
            incarnation: self.now.as_millis(),
            fabric_domain: Some(domain.into()),
            ..server(id, SERVICE, "a")
        };
        let sim = SimHost {
            host,
            orders: 0,
            joined: None,
            last_model: None,
            staging: None,
            max_epoch: 0,
            alive: true,
            died_at: self.now,
            cut_off: false,
        };
        self.hosts.insert(id.into(), sim);
    }

    /// Moves a host to a failure domain.
    pub fn set_failure_domain(&mut self, id: &str, failure_domain: &str) {
        if let Some(sim) = self.hosts.get_mut(id) {
            sim.host.failure_domain = failure_domain.into();
        }
    }

    /// Lets this manager and later ones prepare hosts by standby joins.
    pub fn enable_standby(&mut self) {
        self.standby = true;
        self.planner.set_standby(true);
    }

    /// Replaces the manager by one that knows only what hosts report.
    pub fn replace_manager(&mut self) {
        self.managers += 1;
        self.planner = planner(&format!("m{}", self.managers), self.now);
        self.planner.set_standby(self.standby);
        self.directory.clear_order_counts();
    }

    /// Stops a host without notice.
    pub fn kill(&mut self, id: &str) {
        if let Some(sim) = self.hosts.get_mut(id) {
            sim.alive = false;
            sim.died_at = self.now;
        }
    }

    /// Hides a host that keeps running from the store, or shows it again.
    pub fn set_cut_off(&mut self, id: &str, cut_off: bool) {
        if let Some(sim) = self.hosts.get_mut(id) {
            sim.cut_off = cut_off;
            sim.died_at = self.now;
        }
    }

    /// Restarts a dead host under the same id, with its staged weights.
    pub fn revive(&mut self, id: &str) {
        let now = self.now;
        if let Some(sim) = self.hosts.get_mut(id).filter(|s| !s.alive) {
            sim.alive = true;
            sim.host.incarnation = now.as_millis();
            sim.orders = 0;
            sim.joined = None;
            sim.last_model = None;
            sim.staging = None;
            sim.max_epoch = 0;
        }
    }

    /// Runs for a time; `traffic` indicates whether requests are being served.
    pub fn run(&mut self, time: Duration, traffic: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.execute_delayed();
            self.advance_hosts();
            self.record_reports();
            self.report();
            self.poll_hosts();
            if !self.store.is_follower {
                self.plan(traffic);
            }
            self.check_order_counts();
        }
    }

    /// Returns the number of complete groups of a model that serve in failure domains in
    /// service.
    pub fn open_groups(&self, model: &str) -> usize {
        let open = self.hosts.values().filter(|s| {
            let joined = s.joined.as_ref();
            let is_out = self.directory.is_domain_out(&s.host.failure_domain);
            s.alive
                && !is_out
                && joined.is_some_and(|j| {
                    j.state == GroupState::Open && *j.model == *model && j.members[0] == s.host.id
                })
        });
        open.filter(|s| s.joined.as_ref().is_some_and(|j| j.stalled_since.is_none()))
            .count()
    }

    /// Returns the number of members of groups that load weights after they have joined.
    pub fn loading_members(&self) -> usize {
        let loading = self.hosts.values().filter(|s| s.staging.is_some());
        let joined = loading.filter_map(|s| s.joined.as_ref());
        joined.filter(|j| j.state != GroupState::Joining).count()
    }

    fn plan(&mut self, traffic: bool) {
        let orders = self.planner.plan(
            &self.directory,
            SERVICE,
            &self.profile,
            &self.shares,
            traffic,
            self.now,
        );
        for order in orders {
            self.orders += 1;
            if is_standby_join(&order) {
                self.standby_joins.push(order.clone());
            }
            let answer = self.send(order.clone());
            let (directory, now) = (&mut self.directory, self.now);
            self.planner
                .record_answer(&order, answer.into(), directory, now);
        }
        for id in self.planner.take_hosts_to_query(self.now) {
            let Some(report) = self.report_of(&id) else {
                continue;
            };
            if self.directory.apply_report(&id, &report) != ReportEffect::Older {
                self.planner.confirm_order_count(&id, self.now);
            }
        }
    }

    /// Records the present reports of all hosts, which queries return after the lag.
    fn record_reports(&mut self) {
        for (id, sim) in &self.hosts {
            let reports = self.reports.entry(id.clone()).or_default();
            reports.push_back(HostReport {
                born: sim.host.incarnation,
                orders_begun: sim.orders,
                membership: sim.membership(),
                model: sim.running_model(),
                staged: sim.host.staged.clone(),
                leaving: false,
            });
            while reports.len() > self.report_lag + 1 {
                reports.pop_front();
            }
        }
    }

    /// Returns the answer of a host to a query; `None` if it is dead.
    fn report_of(&self, id: &str) -> Option<HostReport> {
        let sim = self.hosts.get(id).filter(|s| s.alive)?;
        let report = self.reports.get(id)?.front()?;
        (report.born == sim.host.incarnation).then(|| report.clone())
    }

    fn send(&mut self, order: HostOrder) -> OrderAnswer {
        if !self.hosts.get(&order.host).is_some_and(|s| s.alive) {
            return OrderAnswer::Unknown;
        }
        if self.rng.random::<f64>() < self.delayed_share {
            let after = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.delayed.push(DelayedOrder {
                at: self.now + after,
                order,
            });
            return OrderAnswer::Unknown;
        }
        let answer = self.execute(&order);
        if self.lost_answer_share > 0.0 && self.rng.random::<f64>() < self.lost_answer_share {
            return OrderAnswer::Unknown;
        }
        answer
    }

    fn execute_delayed(&mut self) {
        let now = self.now;
        let (due, later): (Vec<DelayedOrder>, Vec<DelayedOrder>) =
            std::mem::take(&mut self.delayed)
                .into_iter()
                .partition(|l| l.at <= now);
        self.delayed = later;
        for delayed in due {
            self.execute(&delayed.order);
        }
    }

    /// Executes an order as a host does: one that finds its state there already, or under way,
    /// is accepted and begins nothing.
    pub fn execute(&mut self, order: &HostOrder) -> OrderAnswer {
        let now = self.now;
        let Some(sim) = self.hosts.get(&order.host).filter(|s| s.alive) else {
            return OrderAnswer::Unknown;
        };
        if sim.orders != order.expected_count {
            return OrderAnswer::Conflict;
        }
        match &order.kind {
            OrderKind::Join {
                group,
                epoch,
                model,
                members,
            } => {
                if *epoch < sim.max_epoch {
                    return OrderAnswer::Outdated;
                }
                let joined = sim.joined.as_ref();
                if let Some(j) = joined.filter(|j| j.group == *group && j.epoch == *epoch) {
                    return match j.state {
                        GroupState::Joining => OrderAnswer::Begun,
                        _ => OrderAnswer::Done,
                    };
                }
                self.check_no_second_serving_group(&order.host, group);
                self.join(&order.host, group, *epoch, model, members);
                OrderAnswer::Begun
            }
            OrderKind::Open { group, epoch } => {
                let is_under_way = sim.joined.as_ref().is_some_and(|j| {
                    j.group == *group && j.epoch == *epoch && j.opens_at.is_some()
                });
                if is_under_way {
                    return OrderAnswer::Begun;
                }
                let fits = sim.joined.as_ref().is_some_and(|j| {
                    j.group == *group && j.epoch == *epoch && j.state == GroupState::Ready
                });
                if !fits {
                    return OrderAnswer::Conflict;
                }
                self.check_all_members_ready(&order.host);
                let opens_at = now + self.profile.open_time;
                self.update_joined(&order.host, |j| j.opens_at = Some(opens_at));
                OrderAnswer::Begun
            }
            OrderKind::Close { group, epoch } => self.close(&order.host, group, *epoch),
            OrderKind::Leave { group, epoch } => {
                if !sim
                    .joined
                    .as_ref()
                    .is_some_and(|j| j.group == *group && j.epoch == *epoch)
                {
                    return OrderAnswer::Done;
                }
                if let Some(sim) = self.hosts.get_mut(&order.host) {
                    sim.joined = None;
                    sim.orders += 1;
                }
                OrderAnswer::Done
            }
            OrderKind::Stage { model } => {
                if sim.host.staged.contains(model) {
                    return OrderAnswer::Done;
                }
                if sim.staging.as_ref().is_some_and(|(m, _)| m == model) {
                    return OrderAnswer::Begun;
                }
                let load = self
                    .profile
                    .model(model)
                    .map_or(Duration::ZERO, |m| m.load_time);
                if let Some(sim) = self.hosts.get_mut(&order.host) {
                    sim.staging = Some((model.clone(), now + load));
                    sim.orders += 1;
                }
                OrderAnswer::Begun
            }
        }
    }

    /// Lets a head finish its work and close its group.
    fn close(&mut self, id: &HostId, group: &Arc<str>, epoch: u64) -> OrderAnswer {
        let closes_at = self.now + self.close_time;
        let has_work = !self.close_time.is_zero();
        let joined = self.hosts.get(id).and_then(|s| s.joined.as_ref());
        let joined = joined.filter(|j| j.group == *group && j.epoch == epoch);
        match joined.map(|j| j.state) {
            Some(GroupState::Closing) => return OrderAnswer::Begun,
            Some(GroupState::Open) => {}
            _ => return OrderAnswer::Conflict,
        }
        self.update_joined(id, |j| {
            j.opens_at = None;
            if has_work {
                j.state = GroupState::Closing;
                j.closes_at = Some(closes_at);
            } else {
                j.state = GroupState::Ready;
            }
        });
        OrderAnswer::Begun
    }

    fn update_joined(&mut self, id: &HostId, update: impl Fn(&mut JoinedGroup)) {
        if let Some(sim) = self.hosts.get_mut(id) {
            sim.orders += 1;
            sim.joined.as_mut().map(update);
        }
    }

    fn join(
        &mut self,
        id: &HostId,
        group: &Arc<str>,
        epoch: u64,
        model: &Arc<str>,
        members: &[HostId],
    ) {
        let now = self.now;
        let model_profile = self.profile.model(model).cloned();
        let Some(sim) = self.hosts.get_mut(id) else {
            return;
        };
        let model_profile =
            model_profile.unwrap_or_else(|| panic!("model {model:?} does not exist"));
        let join_time = if sim.last_model.as_ref() == Some(model) {
            Duration::from_millis(200)
        } else if sim.host.staged.contains(model) {
            model_profile.warm_time
        } else {
            model_profile.load_time
        };
        if join_time == model_profile.load_time && members.len() == 1 {
            let text = format!("host {id} loads {model} for the standby group {group}");
            self.violations.push(text);
        }
        if join_time == model_profile.load_time {
            sim.staging = Some((model.clone(), now + join_time));
        }
        sim.orders += 1;
        sim.max_epoch = epoch;
        sim.joined = Some(JoinedGroup {
            group: group.clone(),
            epoch,
            model: model.clone(),
            members: members.to_vec(),
            ready_at: now + join_time,
            opens_at: None,
            closes_at: None,
            state: GroupState::Joining,
            stalled_since: None,
        });
    }

    fn advance_hosts(&mut self) {
        let now = self.now;
        for sim in self.hosts.values_mut().filter(|s| s.alive) {
            if let Some((model, _)) = sim.staging.clone().filter(|(_, at)| *at <= now) {
                sim.host.staged = vec![model];
                sim.staging = None;
            }
            if let Some(joined) = sim.joined.as_mut()
                && joined.state == GroupState::Joining
                && joined.ready_at <= now
            {
                joined.state = GroupState::Ready;
                sim.last_model = Some(joined.model.clone());
                // The only staging slot goes to the model that was joined last.
                sim.host.staged = vec![joined.model.clone()];
                self.ready
                    .insert((joined.group.clone(), joined.epoch, sim.host.id.clone()));
            }
            if let Some(joined) = sim.joined.as_mut()
                && joined.opens_at.is_some_and(|at| at <= now)
            {
                joined.opens_at = None;
                joined.state = GroupState::Open;
            }
            if let Some(joined) = sim.joined.as_mut()
                && joined.state == GroupState::Closing
                && joined.closes_at.is_some_and(|at| at <= now)
            {
                joined.closes_at = None;
                joined.state = GroupState::Ready;
            }
        }
        self.break_groups();
    }

    /// Stalls the groups whose head lost a member, and breaks them after a timeout.
    fn break_groups(&mut self) {
        let now = self.now;
        let member_of: BTreeMap<HostId, Option<Arc<str>>> = self
            .hosts
            .values()
            .map(|s| {
                (
                    s.host.id.clone(),
                    s.joined
                        .as_ref()
                        .filter(|_| s.alive)
                        .map(|j| j.group.clone()),
                )
            })
            .collect();
        for sim in self.hosts.values_mut().filter(|s| s.alive) {
            let id = sim.host.id.clone();
            let Some(joined) = sim.joined.as_mut().filter(|j| j.members[0] == id) else {
                continue;
            };
            if !matches!(joined.state, GroupState::Open | GroupState::Closing) {
                continue;
            }
            let is_complete = joined
                .members
                .iter()
                .all(|m| member_of.get(m) == Some(&Some(joined.group.clone())));
            if is_complete {
                continue;
            }
            let since = *joined.stalled_since.get_or_insert(now);
            if now.since(since) >= STALL_TIMEOUT {
                joined.state = GroupState::Broken;
            }
        }
    }

    /// Updates the manager's directory.
    fn report(&mut self) {
        if self.is_store_away() {
            return;
        }
        self.apply_delayed_entries();
        let now = self.now;
        let mut visible = Vec::new();
        for sim in self.hosts.values() {
            let is_visible = sim.alive && !sim.cut_off;
            if is_visible {
                let mut host = sim.host.clone();
                host.model = sim.running_model();
                host.group = group(sim.membership());
                visible.push(host);
            } else if now.since(sim.died_at) >= ENTRY_LEASE
                && self.directory.get(&sim.host.id).is_some()
            {
                self.directory.remove(&sim.host.id, now);
            }
        }
        for host in visible {
            self.write_entry(host);
        }
    }
}

/// Returns whether an order is to join a group of one member; no model of the tests has
/// groups of that size.
fn is_standby_join(order: &HostOrder) -> bool {
    matches!(&order.kind, OrderKind::Join { members, .. } if members.len() == 1)
}

/// Creates the planner of a manager, which puts `nonce` into the names of its groups.
pub fn planner(nonce: &str, now: Timestamp) -> GroupPlanner {
    let settings = PlannerSettings {
        nonce: nonce.into(),
        first_epoch: now.as_millis(),
        load_window: Duration::from_secs(5),
    };
    GroupPlanner::new(settings, now)
}
