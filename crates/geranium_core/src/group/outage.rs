//! What the leader may do while the platform's store does not answer.

use std::collections::BTreeMap;

use crate::engine::Member;
use crate::group::{DomainView, GroupTable};
use crate::id::FabricDomainId;

/// Decides which rights the leader writes down for itself before an outage.
///
/// During an outage it may do only what the table grants it.
pub trait OutagePolicy {
    /// Returns the free hosts of each fabric domain that are to be delegated.
    ///
    /// A fabric domain with an empty list is delegated too: its holder may load
    /// members again that have restarted.
    fn spares(
        &self,
        view: &DomainView,
        table: &GroupTable,
    ) -> BTreeMap<FabricDomainId, Vec<Member>>;
}

/// Grants nothing: groups stay as they are during an outage.
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
/// Spares whose engines ignore the number are never delegated: nothing could
/// take them back from a holder that still acts.
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
