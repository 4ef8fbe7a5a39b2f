//! Selection of hosts for new groups and of spares for repairs.

use std::collections::BTreeMap;

use crate::engine::{HostEntry, HostState, Member};
use crate::group::{DomainView, GroupTable};
use crate::id::{FabricDomainId, HostId};
use crate::time::Timestamp;

/// Returns whether a host can be added to a group now.
pub(super) fn is_spare(
    now: Timestamp,
    view: &DomainView,
    table: &GroupTable,
    entry: &HostEntry,
) -> bool {
    entry.state == HostState::Live
        && table.is_free(&entry.host)
        && is_available(now, view, &entry.host)
}

/// Returns whether a host has a recent report, is reliable, is not leaving service and has
/// no assignment.
pub(super) fn is_available(now: Timestamp, view: &DomainView, host: &HostId) -> bool {
    !view.is_leaving_service(host)
        && !view.is_unreliable(now, host)
        && view
            .recent(now, host)
            .is_some_and(|o| o.report.assignment.is_none())
}

/// Returns the spares by fabric domain, hosts whose engines check fencing first.
pub(super) fn spares<'a>(
    now: Timestamp,
    view: &'a DomainView,
    table: &GroupTable,
) -> BTreeMap<&'a FabricDomainId, Vec<&'a HostEntry>> {
    let mut by_fabric: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for entry in view.hosts().into_iter().flat_map(BTreeMap::values) {
        if is_spare(now, view, table, entry) {
            by_fabric
                .entry(&entry.fabric_domain)
                .or_default()
                .push(entry);
        }
    }
    for entries in by_fabric.values_mut() {
        entries.sort_by_key(|entry| (!entry.checks_fencing, entry.host.clone()));
    }
    by_fabric
}

/// Selects the hosts of a new group by best fit, in the fabric domain that is left
/// with the fewest spares.
pub(super) fn place_group(
    now: Timestamp,
    view: &DomainView,
    table: &GroupTable,
    hosts: usize,
) -> Option<(FabricDomainId, Vec<Member>)> {
    let by_fabric = spares(now, view, table);
    let (fabric_domain, entries) = by_fabric
        .into_iter()
        .filter(|(_, entries)| entries.len() >= hosts && hosts > 0)
        .min_by_key(|(_, entries)| entries.len())?;
    let members = entries.into_iter().take(hosts).map(member).collect();
    Some((fabric_domain.clone(), members))
}

/// Selects a spare in the fabric domain for each host to replace.
pub(super) fn replacements(
    now: Timestamp,
    view: &DomainView,
    table: &GroupTable,
    fabric_domain: &FabricDomainId,
    lost: &[HostId],
) -> Option<Vec<(HostId, Member)>> {
    let by_fabric = spares(now, view, table);
    let entries = by_fabric.get(fabric_domain)?;
    if entries.len() < lost.len() {
        return None;
    }
    let pairs = lost.iter().cloned().zip(entries.iter().map(|e| member(e)));
    Some(pairs.collect())
}

fn member(entry: &HostEntry) -> Member {
    Member {
        host: entry.host.clone(),
        address: entry.address,
    }
}
