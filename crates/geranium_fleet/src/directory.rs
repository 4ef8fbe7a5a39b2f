//! Backend servers that are known, and which of them may get new work.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::{HashMap, HashSet};
use geranium_core::time::Timestamp;

use crate::host::{GroupState, Host, HostId, HostReport, HostState, Membership};

/// Time for which an entry that expiring during an outage of the store stays
/// usable; below the time that a leaving host goes on serving.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_600);
/// Time after an outage of the store in which removed entries may come back.
const RECOVERY_WINDOW: Duration = Duration::from_millis(2_500);
/// Time for which a life of a host that said that it leaves is remembered; its entry may
/// lapse and come back meanwhile.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// A life of a host that said that it leaves.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    incarnation: u64,
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
    /// Takes in what a host says of itself and returns whether it is a new life.
    pub fn put(&mut self, mut host: Host) -> bool {
        self.expiring.remove(&host.id);
        if self.is_leaving(&host.id, host.incarnation) {
            host.state = HostState::Draining;
        }
        let known = self.hosts.get(&host.id);
        let same_incarnation = known.is_some_and(|k| k.incarnation == host.incarnation);
        if let Some(known) = known.filter(|_| same_incarnation) {
            host.cold_until = host.cold_until.max(known.cold_until);
            host.last_model.clone_from(&known.last_model);
        }
        host.update_last_model();
        host.orders_begun = match known.filter(|_| same_incarnation) {
            Some(known) => known.orders_begun,
            // A host that begins a life has begun no order. If the guess is wrong it
            // refuses the first order and is asked.
            None if host.membership.is_none() => Some(0),
            None => None,
        };
        self.hosts.insert(host.id.clone(), host);
        !same_incarnation
    }

    /// Takes in what a host answered itself, for the time in which its entry cannot
    /// be read; returns whether that changed anything.
    pub fn apply_report(&mut self, id: &str, report: &HostReport) -> bool {
        let Some(host) = self
            .hosts
            .get_mut(id)
            .filter(|h| h.incarnation == report.incarnation)
        else {
            return false;
        };
        let same = host.membership == report.membership
            && host.model == report.model
            && host.staged == report.staged;
        if same {
            return false;
        }
        host.membership.clone_from(&report.membership);
        host.model.clone_from(&report.model);
        host.staged.clone_from(&report.staged);
        host.update_last_model();
        true
    }

    /// Notes that a host said itself that it leaves, whatever its entry says; returns
    /// whether that is new. It holds for this life of the host.
    pub fn mark_leaving(&mut self, id: &HostId, incarnation: u64, now: Timestamp) -> bool {
        let known = self.is_leaving(id, incarnation);
        self.leaving.insert(
            id.clone(),
            Leaving {
                incarnation,
                at: now,
            },
        );
        if let Some(host) = self
            .hosts
            .get_mut(id)
            .filter(|h| h.incarnation == incarnation)
        {
            host.state = HostState::Draining;
        }
        !known
    }

    fn is_leaving(&self, id: &str, incarnation: u64) -> bool {
        self.leaving
            .get(id)
            .is_some_and(|l| l.incarnation == incarnation)
    }

    /// Notes that the entry of a host has expired.
    ///
    /// Shortly after an outage of the store the host stays usable for a moment,
    /// as its entry may have expiring although it lives.
    pub fn remove(&mut self, id: &str, now: Timestamp) {
        let window = self.store_recovered_at.map(|at| at + RECOVERY_WINDOW);
        if window.is_some_and(|end| now < end)
            && let Some(host) = self.hosts.get(id)
        {
            let until = now + EXPIRY_GRACE;
            self.expiring.entry(host.id.clone()).or_insert(until);
            return;
        }
        self.hosts.remove(id);
        self.expiring.remove(id);
    }

    /// Drops hosts whose entry expiring and did not come back; returns their ids.
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
            self.hosts.remove(id);
        }
        expired
    }

    /// Notes that the store answers again after an outage.
    pub fn mark_store_recovered(&mut self, now: Timestamp) {
        self.store_recovered_at = Some(now);
    }

    /// Removes every host that is not in a complete list; returns these with the starts of
    /// their processes.
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

    /// Notes the count of orders that a host has begun.
    pub fn set_orders_begun(&mut self, id: &str, incarnation: u64, count: u64) {
        if let Some(host) = self
            .hosts
            .get_mut(id)
            .filter(|h| h.incarnation == incarnation)
        {
            host.orders_begun = Some(count);
        }
    }

    /// Notes the count of orders that a host reports, if it reports the group that its
    /// entry names; returns whether it does.
    ///
    /// A count that is newer than what is known of the group would let an order
    /// through that was decided on an older state.
    pub fn apply_reported_orders(&mut self, id: &str, report: &HostReport) -> bool {
        let Some(host) = self
            .hosts
            .get_mut(id)
            .filter(|h| h.incarnation == report.incarnation)
        else {
            return false;
        };
        let group = |m: &Option<Membership>| m.as_ref().map(|m| (m.group.clone(), m.epoch));
        if group(&host.membership) != group(&report.membership) {
            return false;
        }
        host.orders_begun = Some(report.orders_begun);
        true
    }

    /// Forgets the counts of orders of all hosts that may have begun one, as
    /// another manager may have sent them.
    pub fn clear_order_counts(&mut self) {
        for host in self.hosts.values_mut() {
            let untouched = host.membership.is_none() && host.staged.is_empty();
            host.orders_begun = untouched.then_some(0);
        }
    }

    /// Takes a failure domain out of service or back.
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

    /// Takes back every failure domain that is not in a complete list.
    pub fn retain_domains_out(&mut self, listed: &HashSet<Arc<str>>) {
        self.domains_out.retain(|d| listed.contains(d));
    }

    /// Returns whether a failure domain is out of service.
    #[must_use]
    pub fn is_domain_out(&self, domain: &str) -> bool {
        self.domains_out.contains(domain)
    }

    /// Returns a host by its id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Host> {
        self.hosts.get(id)
    }

    /// Returns all hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns the hosts of a service in the order of their ids.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<&Host> {
        let hosts = self.hosts.values().filter(|h| *h.service == *service);
        let mut hosts: Vec<&Host> = hosts.collect();
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        hosts
    }

    /// Returns the hosts that report the group of a head; the head alone if it reports
    /// none.
    #[must_use]
    pub fn group_of_head(&self, head: &str) -> Vec<&Host> {
        let Some(head) = self.hosts.get(head) else {
            return Vec::new();
        };
        let Some(membership) = &head.membership else {
            return vec![head];
        };
        let is_member = |m: &Membership| m.group == membership.group;
        let hosts = self.hosts.values();
        hosts
            .filter(|h| h.membership.as_ref().is_some_and(is_member))
            .collect()
    }

    /// Counts the hosts of a service in no group that serves or is being formed.
    #[must_use]
    pub fn stranded(&self, service: &str) -> usize {
        let in_group = |m: &Membership| m.state != GroupState::Broken;
        let hosts = self.hosts.values().filter(|h| *h.service == *service);
        hosts
            .filter(|h| !h.membership.as_ref().is_some_and(in_group))
            .count()
    }

    /// Returns whether new work may be sent to a host.
    #[must_use]
    pub fn accepts_work(&self, host: &Host, now: Timestamp) -> bool {
        let expiring = self
            .expiring
            .get(&host.id)
            .is_some_and(|until| now >= *until);
        host.state == HostState::Ready && !expiring && !self.is_domain_out(&host.failure_domain)
    }
}
