//! The known backend servers and which of them may get new work.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;

use crate::host::{GroupState, Host, HostId, HostReport, HostState, Membership, is_later};
use crate::order::{HostOrder, OrderAnswer};
use crate::report_effect::ReportEffect;

/// How long an entry that expired during a store outage stays usable; shorter than the time
/// for which a leaving host keeps serving.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_600);
/// Time after a store outage during which removed entries may come back.
const RECOVERY_WINDOW: Duration = Duration::from_millis(2_500);
/// How long an incarnation that announced that it leaves is remembered; its entry may
/// expire and come back in this time.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// An incarnation of a host that leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    incarnation: u64,
    /// Heartbeat with which its entry said so; a later one may take it back. `None` if the host
    /// announced it, which is final.
    heartbeat: Option<u64>,
    at: Timestamp,
}

/// All known backend servers.
#[derive(Debug, Default)]
pub struct Directory {
    hosts: HashMap<HostId, Host>,
    expiring: HashMap<HostId, Timestamp>,
    leaving: HashMap<HostId, Leaving>,
    domains_out: HashSet<Arc<str>>,
    store_recovered_at: Option<Timestamp>,
}

impl Directory {
    /// Inserts or updates a host from its entry and returns whether it is a new
    /// incarnation.
    ///
    /// An entry may have taken effect late. One of an earlier incarnation is ignored. One that
    /// shows another group than is known with the host's order count does not replace that
    /// group, nor the model and the weights that were known with it.
    pub fn put(&mut self, mut host: Host) -> bool {
        let known = self.hosts.get(&host.id);
        if known.is_some_and(|k| host.incarnation < k.incarnation) {
            return false;
        }
        self.expiring.remove(&host.id);
        if self.is_leaving(&host.id, host.incarnation, host.heartbeat) {
            host.state = HostState::Draining;
        }
        let known = self.hosts.get(&host.id);
        let known = known.filter(|k| k.incarnation == host.incarnation);
        let is_new = known.is_none();
        if let Some(known) = known {
            host.merge_known(known);
        }
        host.update_last_model();
        self.hosts.insert(host.id.clone(), host);
        is_new
    }

    /// Inserts or updates a host from its entry, whatever is known of its group, and returns
    /// whether it is a new incarnation: an entry host that issues no orders follows the store.
    pub fn follow(&mut self, host: Host) -> bool {
        if let Some(known) = self.get_incarnation_mut(&host.id, host.incarnation) {
            known.group.clear_count();
        }
        self.put(host)
    }

    /// Applies the answer of a host that was queried directly.
    pub fn apply_report(&mut self, id: &str, report: &HostReport) -> ReportEffect {
        let host = self.hosts.get_mut(id);
        host.map_or(ReportEffect::Older, |host| host.apply_report(report))
    }

    /// Applies a report that the entry host which issues the orders has passed on.
    pub fn follow_report(&mut self, id: &str, report: &HostReport) -> ReportEffect {
        if let Some(known) = self.get_incarnation_mut(id, report.born) {
            known.group.clear_count();
        }
        self.apply_report(id, report)
    }

    /// Marks an incarnation of a host as leaving, whatever its entry says, because the host
    /// announced it; returns whether this is new.
    pub fn mark_leaving(&mut self, id: &HostId, incarnation: u64, now: Timestamp) -> bool {
        let known = self.is_leaving(id, incarnation, None);
        let leaving = Leaving {
            incarnation,
            heartbeat: None,
            at: now,
        };
        self.leaving.insert(id.clone(), leaving);
        if let Some(host) = self.get_incarnation_mut(id, incarnation) {
            host.state = HostState::Draining;
        }
        !known
    }

    /// Returns whether an incarnation leaves, as far as an entry of this heartbeat does not take
    /// it back.
    fn is_leaving(&self, id: &str, incarnation: u64, heartbeat: Option<u64>) -> bool {
        let leaving = self.leaving.get(id);
        let leaving = leaving.filter(|l| l.incarnation == incarnation);
        leaving.is_some_and(|l| !is_later(heartbeat, l.heartbeat))
    }

    /// Handles the removal of a host's entry.
    ///
    /// Shortly after a store outage the host stays usable for a moment, as its entry may
    /// have expired although the host is alive.
    pub fn remove(&mut self, id: &str, now: Timestamp) {
        let window = self.store_recovered_at.map(|at| at + RECOVERY_WINDOW);
        if window.is_some_and(|end| now < end)
            && let Some(host) = self.hosts.get(id)
        {
            let until = now + EXPIRY_GRACE;
            self.expiring.entry(host.id.clone()).or_insert(until);
            return;
        }
        self.forget(id);
        self.expiring.remove(id);
    }

    /// Removes hosts whose entry expired and did not come back; returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<HostId> {
        self.leaving
            .retain(|_, l| now.since(l.at) < LEAVING_RETENTION);
        if self.expiring.is_empty() {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.expiring.retain(|id, until| {
            let keep = now < *until;
            if !keep {
                expired.push(id.clone());
            }
            keep
        });
        for id in &expired {
            self.forget(id);
        }
        expired
    }

    fn forget(&mut self, id: &str) {
        self.hosts.remove(id);
    }

    /// Records that the store answers again after an outage.
    pub fn mark_store_recovered(&mut self, now: Timestamp) {
        self.store_recovered_at = Some(now);
    }

    /// Keeps all draining incarnations draining, whatever their entries from before say.
    pub fn keep_draining(&mut self, now: Timestamp) {
        let draining = self
            .hosts
            .values()
            .filter(|h| h.state == HostState::Draining);
        for host in draining {
            let leaving = Leaving {
                incarnation: host.incarnation,
                heartbeat: host.heartbeat,
                at: now,
            };
            let known = self.leaving.get(&host.id);
            let is_announced =
                |l: &Leaving| l.incarnation == host.incarnation && l.heartbeat.is_none();
            if !known.is_some_and(is_announced) {
                self.leaving.insert(host.id.clone(), leaving);
            }
        }
    }

    /// Removes every host that is not in a complete list; returns their ids and
    /// incarnations.
    pub fn retain_listed(
        &mut self,
        listed: &HashSet<HostId>,
        now: Timestamp,
    ) -> Vec<(HostId, u64)> {
        let missing = self.hosts.values().filter(|h| !listed.contains(&h.id));
        let missing: Vec<(HostId, u64)> = missing.map(|h| (h.id.clone(), h.incarnation)).collect();
        for (id, _) in &missing {
            self.remove(id, now);
        }
        missing
    }

    /// Updates the group and the order count of a host that accepted an order; returns whether
    /// the host need not be queried for it, which one that is gone or started anew need not.
    pub fn record_accepted_order(&mut self, order: &HostOrder, answer: OrderAnswer) -> bool {
        let Some(host) = self.get_incarnation_mut(&order.host, order.incarnation) else {
            return true;
        };
        host.record_accepted_order(order, answer);
        host.group.order_count().is_some()
    }

    /// Takes note of an order that did not match the state, the order count or the epoch of its
    /// host, which has to be queried then.
    pub fn record_conflict(&mut self, order: &HostOrder) {
        if let Some(host) = self.get_incarnation_mut(&order.host, order.incarnation) {
            host.group.record_conflict(order);
        }
    }

    /// Returns whether the entry of any host contradicts what is known of its group.
    #[must_use]
    pub fn has_contested(&self) -> bool {
        self.hosts.values().any(|h| h.group.is_contested())
    }

    /// Clears the order counts of all hosts that may have begun an order, as another
    /// manager may have issued it.
    pub fn clear_order_counts(&mut self) {
        for host in self.hosts.values_mut() {
            host.group.clear_count();
            if host.staged.is_empty() {
                host.group.assume_idle();
            }
        }
    }

    /// Takes a failure domain out of service or puts it back into service.
    pub fn set_domain_out(&mut self, domain: &Arc<str>, out: bool) {
        if out {
            self.domains_out.insert(domain.clone());
        } else {
            self.domains_out.remove(domain);
        }
    }

    /// Treats all hosts of a failure domain as cold until a time.
    pub fn set_domain_cold(&mut self, domain: &str, until: Timestamp) {
        let hosts = self.hosts.values_mut();
        for host in hosts.filter(|h| *h.failure_domain == *domain) {
            host.cold_until = host.cold_until.max(Some(until));
        }
    }

    /// Puts every failure domain that is not in a complete list back into service.
    pub fn retain_domains_out(&mut self, listed: &HashSet<Arc<str>>) {
        self.domains_out.retain(|d| listed.contains(d));
    }

    /// Returns whether a failure domain is out of service.
    #[must_use]
    pub fn is_domain_out(&self, domain: &str) -> bool {
        self.domains_out.contains(domain)
    }

    /// Returns the host with the given id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Returns the host with the given id, if the given incarnation of it is the known one.
    fn get_incarnation_mut(&mut self, id: &str, incarnation: u64) -> Option<&mut Host> {
        let host = self.hosts.get_mut(id);
        host.filter(|h| h.incarnation == incarnation)
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns the hosts of a service, ordered by id.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<&Host> {
        let hosts = self.hosts.values().filter(|h| *h.service == *service);
        let mut hosts: Vec<&Host> = hosts.collect();
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts
    }

    /// Returns the hosts that report the group of a head, or the head alone if it reports
    /// no group.
    #[must_use]
    pub fn group_of_head(&self, head: &str) -> Vec<&Host> {
        let Some(head) = self.hosts.get(head) else {
            return Vec::new();
        };
        let Some(membership) = head.membership() else {
            return vec![head];
        };
        let is_member = |m: &Membership| m.group == membership.group;
        let hosts = self.hosts.values();
        hosts
            .filter(|h| h.membership().is_some_and(is_member))
            .collect()
    }

    /// Counts the hosts of a service that are in no serving or forming group.
    #[must_use]
    pub fn stranded(&self, service: &str) -> usize {
        self.without_group(service).count()
    }

    /// Counts the hosts of a service that are in no serving or forming group and can join one
    /// of a model at once.
    #[must_use]
    pub fn standby(&self, service: &str, model: &str) -> usize {
        let hosts = self.without_group(service);
        let ready = hosts.filter(|h| h.state == HostState::Ready);
        ready
            .filter(|h| h.last_model.as_deref() == Some(model))
            .count()
    }

    fn without_group(&self, service: &str) -> impl Iterator<Item = &Host> {
        let in_group = |m: &Membership| m.state != GroupState::Broken;
        let hosts = self.hosts.values().filter(move |h| *h.service == *service);
        hosts.filter(move |h| !h.membership().is_some_and(in_group))
    }

    /// Returns whether new work may be sent to a host.
    #[must_use]
    pub fn accepts_work(&self, host: &Host, now: Timestamp) -> bool {
        let is_expired = self
            .expiring
            .get(&host.id)
            .is_some_and(|until| now >= *until);
        host.state == HostState::Ready && !is_expired && !self.is_domain_out(&host.failure_domain)
    }
}
