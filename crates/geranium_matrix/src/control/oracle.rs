//! Checks of what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use geranium_core::collections::HashSet;
use geranium_core::engine::Order;
use geranium_core::group::{GroupError, GroupTable};
use geranium_core::id::{FencingNumber, GroupId, HostId};
use geranium_core::time::Timestamp;

/// Time within which a gate closes after a member is lost.
pub(super) const GATE_LIMIT: Duration = Duration::from_millis(1_000);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A group was open although a member had been missing for too long.
    MemberMissing(GroupId, HostId),
    /// Two open groups shared a host.
    HostInTwoGroups(HostId, GroupId, GroupId),
    /// A table broke a rule.
    TableBroken(String),
    /// A host got another order under a number that was not fresh.
    NumberNotFresh(HostId, FencingNumber),
    /// An order follows from no table that was ever written or granted.
    OrderWithoutIntent(HostId, FencingNumber),
    /// An amendment went beyond the rights that its author held.
    AmendmentWithoutRight(FencingNumber),
    /// A group took new work although its failure domain was out of service.
    OpenWhileOut(GroupId),
    /// A group took new work although a member was leaving.
    OpenWhileLeaving(GroupId, HostId),
    /// Requests in progress were cut off by a planned change.
    RequestsCut(usize),
    /// The replicas wanted were not all back in time on an entry host.
    NotRestored(usize, usize),
    /// Replicas were missing during a change that needs no gap.
    Gap(Duration),
    /// A bound on a time was missed.
    TooLate(&'static str, Duration),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MemberMissing(group, host) => {
                write!(f, "group {group} was open without member {host}")
            }
            Self::HostInTwoGroups(host, a, b) => {
                write!(f, "host {host} was in open groups {a} and {b}")
            }
            Self::TableBroken(reason) => {
                write!(f, "a table was written that breaks a rule: {reason}")
            }
            Self::NumberNotFresh(host, fencing) => {
                write!(f, "host {host} got another order under number {fencing}")
            }
            Self::OrderWithoutIntent(host, fencing) => {
                write!(f, "host {host} got order {fencing} that no table holds")
            }
            Self::AmendmentWithoutRight(fencing) => {
                write!(
                    f,
                    "an amendment used number {fencing} without the right to it"
                )
            }
            Self::OpenWhileOut(group) => {
                write!(f, "group {group} was open while its domain was out")
            }
            Self::OpenWhileLeaving(group, host) => {
                write!(f, "group {group} was open while member {host} was leaving")
            }
            Self::RequestsCut(count) => write!(f, "{count} requests were cut off"),
            Self::NotRestored(open, wanted) => {
                write!(f, "{open} of {wanted} replicas were open at the end")
            }
            Self::Gap(time) => write!(f, "replicas were missing for {} ms", time.as_millis()),
            Self::TooLate(what, time) => write!(f, "{what} took {} ms", time.as_millis()),
        }
    }
}

/// Collects the rules that were broken in a run.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// From when on the failure domain may take no new work.
    pub domain_out_since: Option<Timestamp>,
    /// Hosts that may take no new work, and from when on.
    pub leaving_since: BTreeMap<HostId, Timestamp>,
    violations: BTreeSet<Violation>,
    orders: HashSet<Order>,
    latest: Option<GroupTable>,
    written: Vec<GroupTable>,
    last_served: BTreeMap<(GroupId, FencingNumber, HostId), Timestamp>,
    shared_since: BTreeMap<HostId, Timestamp>,
}

impl Oracle {
    /// Returns the rules that were broken.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.iter().cloned().collect()
    }

    /// Notes a broken rule.
    pub fn note(&mut self, violation: Violation) {
        self.violations.insert(violation);
    }

    /// Checks a table that the store took.
    pub fn check_written(&mut self, table: &GroupTable) {
        if let Err(e) = table.check() {
            self.note_broken(&e);
        }
        if let Some(before) = self.latest.take() {
            for order in table.orders() {
                self.check_number(&before, &order);
            }
        }
        self.orders.extend(table.orders());
        self.written.push(table.clone());
        self.latest = Some(table.clone());
    }

    /// Checks an amendment that a process published.
    pub fn check_amendment(
        &mut self,
        amended: &GroupTable,
        holder: geranium_core::id::Incarnation,
    ) {
        if let Err(e) = amended.check() {
            self.note_broken(&e);
        }
        let sequence = amended.version().sequence;
        let base = self
            .written
            .iter()
            .rev()
            .find(|t| t.version().sequence == sequence);
        let Some(base) = base.cloned() else {
            self.note(Violation::AmendmentWithoutRight(FencingNumber::default()));
            return;
        };
        for (id, group) in amended.groups() {
            let before = base.groups().get(id);
            if before.is_some_and(|before| before.fencing == group.fencing) {
                continue;
            }
            let granted = base
                .delegations()
                .get(&group.fabric_domain)
                .is_some_and(|d| {
                    let fresh = group
                        .members
                        .iter()
                        .filter(|m| !before.is_some_and(|b| b.has_member(&m.host)));
                    d.holder == holder
                        && (d.next_fencing..d.end_fencing).contains(&group.fencing)
                        && fresh.into_iter().all(|m| d.has_spare(&m.host))
                });
            if !granted {
                self.note(Violation::AmendmentWithoutRight(group.fencing));
            }
        }
        self.orders.extend(amended.orders());
    }

    /// Checks an order that an engine received.
    pub fn check_order(&mut self, order: &Order) {
        if !self.orders.contains(order) {
            let violation = Violation::OrderWithoutIntent(order.host.clone(), order.fencing);
            self.note(violation);
        }
    }

    /// Notes whether a member of a group serves.
    ///
    /// Returns whether it has been missing for too long to be excused.
    pub fn note_member(
        &mut self,
        now: Timestamp,
        (group, fencing): (&GroupId, FencingNumber),
        host: &HostId,
        serves: bool,
    ) -> bool {
        let key = (group.clone(), fencing, host.clone());
        let last_served = self.last_served.entry(key).or_insert(now);
        if serves {
            *last_served = now;
        }
        now.since(*last_served) > GATE_LIMIT
    }

    /// Checks a group that is open on an entry host.
    pub fn check_open(
        &mut self,
        now: Timestamp,
        group: &GroupId,
        members: &[HostId],
        missing: Option<HostId>,
    ) {
        if let Some(host) = missing {
            self.note(Violation::MemberMissing(group.clone(), host));
        }
        if self.domain_out_since.is_some_and(|at| now >= at) {
            self.note(Violation::OpenWhileOut(group.clone()));
        }
        for host in members {
            if self.leaving_since.get(host).is_some_and(|at| now >= *at) {
                self.note(Violation::OpenWhileLeaving(group.clone(), host.clone()));
            }
        }
    }

    /// Checks that no host belongs to two groups that are open anywhere.
    pub fn check_shared(&mut self, now: Timestamp, open: &[(GroupId, Vec<HostId>)]) {
        let mut owner: BTreeMap<&HostId, &GroupId> = BTreeMap::new();
        let mut shared: BTreeMap<HostId, (GroupId, GroupId)> = BTreeMap::new();
        for (group, members) in open {
            for host in members {
                let first = *owner.entry(host).or_insert(group);
                if first != group {
                    shared.insert(host.clone(), (first.clone(), group.clone()));
                }
            }
        }
        self.shared_since
            .retain(|host, _| shared.contains_key(host));
        for (host, (first, second)) in shared {
            let since = *self.shared_since.entry(host.clone()).or_insert(now);
            if now.since(since) > GATE_LIMIT {
                self.note(Violation::HostInTwoGroups(host, first, second));
            }
        }
    }

    fn check_number(&mut self, before: &GroupTable, order: &Order) {
        let earlier = before.order_for(&order.host);
        let unchanged = earlier.as_ref() == Some(order);
        let highest = before.highest_fencing(&order.host).unwrap_or_default();
        if !unchanged && order.fencing <= highest {
            let violation = Violation::NumberNotFresh(order.host.clone(), order.fencing);
            self.note(violation);
        }
    }

    fn note_broken(&mut self, e: &GroupError) {
        self.note(Violation::TableBroken(e.to_string()));
    }
}
