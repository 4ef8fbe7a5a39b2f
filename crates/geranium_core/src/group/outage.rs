//! Policies for outages of the platform's store.

use std::collections::BTreeMap;

use crate::engine::Member;
use crate::group::{DomainView, GroupTable};
use crate::id::FabricDomainId;

/// Decides which spares the leader delegates to itself in advance of a store outage.
///
/// During an outage the leader may only do what delegations in the table allow.
pub trait OutagePolicy {
    /// Returns the free hosts to delegate, by fabric domain.
    ///
    /// A fabric domain with an empty list is delegated too, so that the holder may
    /// reload members that have restarted.
    fn spares(
        &self,
        view: &DomainView,
        table: &GroupTable,
    ) -> BTreeMap<FabricDomainId, Vec<Member>>;
}

/// Delegates nothing: groups do not change during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoDelegation;

impl OutagePolicy for NoDelegation {
    fn spares(
        &self,
        _world: &DomainView,
        _table: &GroupTable,
    ) -> BTreeMap<FabricDomainId, Vec<Member>> {
        BTreeMap::new()
    }
}

/// Delegates every free host whose engine checks fencing numbers.
///
/// Spares whose engines ignore fencing numbers are never delegated, because they
/// could not be revoked from a holder that is still active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelegatedSpares;

impl OutagePolicy for DelegatedSpares {
    fn spares(
        &self,
        view: &DomainView,
        table: &GroupTable,
    ) -> BTreeMap<FabricDomainId, Vec<Member>> {
        let mut spares: BTreeMap<FabricDomainId, Vec<Member>> = BTreeMap::new();
        for entry in view.hosts().into_iter().flat_map(BTreeMap::values) {
            let of_domain = spares.entry(entry.fabric_domain.clone()).or_default();
            if entry.checks_fencing
                && table.is_free(&entry.host)
                && !view.is_leaving_service(&entry.host)
            {
                of_domain.push(Member {
                    host: entry.host.clone(),
                    address: entry.address,
                });
            }
        }
        spares
    }
}
