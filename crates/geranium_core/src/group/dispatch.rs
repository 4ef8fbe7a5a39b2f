//! Selection of the orders to send.

use std::collections::BTreeMap;

use crate::engine::{Assignment, EnginePhase, Order, OrderAction};
use crate::group::{DomainView, GroupState, GroupTable, ReplicaGroup};
use crate::id::{FencingNumber, GroupId, HostId, Incarnation};
use crate::time::Timestamp;

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    fencing: FencingNumber,
    at: Timestamp,
}

/// An order that is due to be sent.
#[derive(Clone, Debug)]
pub(super) struct DueOrder {
    /// The order.
    pub(super) order: Order,
    /// Whether the order has not been sent before.
    pub(super) first: bool,
}

/// Selects the orders of the table to send.
///
/// An order is resent with the same content and fencing number until a report shows
/// its effect. The number of hosts that load concurrently is limited; the groups
/// needed most start first.
#[derive(Clone, Debug, Default)]
pub(super) struct Dispatcher {
    sent: BTreeMap<HostId, SentOrder>,
}

impl Dispatcher {
    /// Records that an order was sent.
    pub(super) fn record_sent(&mut self, now: Timestamp, order: &Order) {
        let sent = SentOrder {
            fencing: order.fencing,
            at: now,
        };
        self.sent.insert(order.host.clone(), sent);
    }

    /// Returns the orders that are due at `now`.
    pub(super) fn due(
        &self,
        now: Timestamp,
        view: &DomainView,
        table: &GroupTable,
    ) -> Vec<DueOrder> {
        let mut due = Vec::new();
        for host in table.releasing().keys() {
            due.extend(
                table
                    .order_for(host)
                    .and_then(|o| self.due_order(now, view, o)),
            );
        }
        for (id, group) in self.started_groups(now, view, table) {
            let orders = (0..group.members.len()).map(|rank| group.load_order(id, rank));
            due.extend(orders.filter_map(|o| self.due_order(now, view, o)));
        }
        due
    }

    /// Returns the orders that the holder of delegations may send during a store outage.
    ///
    /// New members come first: if the delegation was revoked, they refuse the order,
    /// and the members that still serve are not disturbed. An engine that follows a
    /// different order is left alone unless it is a member.
    pub(super) fn due_as_holder(
        &self,
        now: Timestamp,
        view: &DomainView,
        table: &GroupTable,
        holder: Incarnation,
    ) -> Vec<DueOrder> {
        let mut due = Vec::new();
        for (id, group) in self.started_groups(now, view, table) {
            if !table.is_holder(&group.fabric_domain, holder) {
                continue;
            }
            let orders = (0..group.members.len()).map(|rank| group.load_order(id, rank));
            let (present, new): (Vec<Order>, Vec<Order>) =
                orders.partition(|order| follows_group(now, view, order, id));
            let next_orders = if new.is_empty() { present } else { new };
            due.extend(
                next_orders
                    .into_iter()
                    .filter_map(|o| self.due_order(now, view, o)),
            );
        }
        due
    }

    fn due_order(&self, now: Timestamp, view: &DomainView, order: Order) -> Option<DueOrder> {
        if effect_seen(now, view, &order) {
            return None;
        }
        let Some(sent) = self.sent.get(&order.host) else {
            return Some(DueOrder { order, first: true });
        };
        if sent.fencing != order.fencing {
            return Some(DueOrder { order, first: true });
        }
        let resend_due = now.since(sent.at) >= view.config().order_resend_interval;
        let has_report = view.recent(now, &order.host).is_some();
        (resend_due && has_report).then_some(DueOrder {
            order,
            first: false,
        })
    }

    fn started_groups<'t>(
        &self,
        now: Timestamp,
        view: &DomainView,
        table: &'t GroupTable,
    ) -> Vec<(&'t GroupId, &'t ReplicaGroup)> {
        let active = table
            .groups()
            .iter()
            .filter(|(_, group)| group.state != GroupState::Dissolving);
        let (mut started, mut waiting): (Vec<_>, Vec<_>) =
            active.partition(|(_, group)| self.is_started(now, view, group));
        let limit = view.config().max_loading_hosts;
        let mut loading: usize = started
            .iter()
            .map(|(id, group)| loading_hosts(now, view, id, group))
            .sum();
        waiting
            .sort_by_key(|(id, group)| (load_priority(now, view, table, id, group), group.fencing));
        for (id, group) in waiting {
            let hosts = loading_hosts(now, view, id, group);
            let urgent = load_priority(now, view, table, id, group) != LoadPriority::Planned;
            let fits = loading == 0 || loading + hosts <= limit || (urgent && loading < limit);
            if fits {
                loading += hosts;
                started.push((id, group));
            }
        }
        started
    }

    fn is_started(&self, now: Timestamp, view: &DomainView, group: &ReplicaGroup) -> bool {
        group.members.iter().any(|member| {
            let sent = self.sent.get(&member.host).map(|sent| sent.fencing);
            let followed = view
                .recent(now, &member.host)
                .and_then(|o| o.report.assignment.as_ref())
                .map(|a| a.fencing);
            sent == Some(group.fencing) || followed == Some(group.fencing)
        })
    }
}

/// Returns whether the latest report of an engine shows the effect of an order.
fn effect_seen(now: Timestamp, view: &DomainView, order: &Order) -> bool {
    let Some(observation) = view.recent(now, &order.host) else {
        return false;
    };
    let report = &observation.report;
    match &order.action {
        OrderAction::Load(load) => report.assignment.as_ref().is_some_and(|a| {
            a.group == load.group
                && a.fencing == order.fencing
                && a.model == load.model
                && a.version == load.version
                && a.adapters == load.adapters
                && a.rank == load.rank
        }),
        // A release is resent until it is removed from the table.
        OrderAction::Release => false,
        OrderAction::Fence => report.fencing >= order.fencing,
    }
}

/// Returns whether an engine follows an order of a group, with any fencing number.
fn follows_group(now: Timestamp, view: &DomainView, order: &Order, id: &GroupId) -> bool {
    view.recent(now, &order.host)
        .and_then(|o| o.report.assignment.as_ref())
        .is_some_and(|a| &a.group == id)
}

/// Returns the number of members of a group that still have to load weights.
fn loading_hosts(now: Timestamp, view: &DomainView, id: &GroupId, group: &ReplicaGroup) -> usize {
    let ranks = 0..group.members.len();
    let loads = ranks.filter(|&rank| !has_weights(now, view, id, group, rank));
    loads.count()
}

/// Returns whether a member has loaded its weights, or cannot load any because it failed.
fn has_weights(
    now: Timestamp,
    view: &DomainView,
    id: &GroupId,
    group: &ReplicaGroup,
    rank: usize,
) -> bool {
    let host = &group.members[rank].host;
    if view.is_failed(now, host) {
        return true;
    }
    let expected = group.assignment(id, rank);
    view.recent(now, host).is_some_and(|o| {
        let loaded = matches!(o.report.phase, EnginePhase::Cold | EnginePhase::Warm);
        let same = o.report.assignment.as_ref().is_some_and(|a| {
            let renumbered = Assignment {
                fencing: expected.fencing,
                ..a.clone()
            };
            renumbered == expected
        });
        loaded && same
    })
}

/// Loading priority of a group, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LoadPriority {
    /// No open group serves the model.
    Unserved,
    /// Part of the group has already loaded.
    Repair,
    /// Another open group serves the model and no member has loaded yet.
    Planned,
}

fn load_priority(
    now: Timestamp,
    view: &DomainView,
    table: &GroupTable,
    id: &GroupId,
    group: &ReplicaGroup,
) -> LoadPriority {
    let served = table.groups().iter().any(|(other_id, other)| {
        other.served_model == group.served_model && view.is_open(now, other_id, other)
    });
    if !served {
        LoadPriority::Unserved
    } else if loading_hosts(now, view, id, group) < group.members.len() {
        LoadPriority::Repair
    } else {
        LoadPriority::Planned
    }
}
