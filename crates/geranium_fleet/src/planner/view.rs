//! Groups as their members report them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::host::{GroupState, Host};
use crate::order::OrderKind;

/// The hosts that report membership in one group and epoch.
#[derive(Debug)]
pub(super) struct GroupView<'a> {
    pub(super) group: Arc<str>,
    pub(super) epoch: u64,
    /// Members by rank.
    pub(super) members: BTreeMap<usize, &'a Host>,
}

impl<'a> GroupView<'a> {
    /// Returns the head, if it reports the group.
    pub(super) fn head(&self) -> Option<&'a Host> {
        self.members.get(&0).copied()
    }

    /// Returns the model, as reported by a member that has finished joining.
    pub(super) fn model(&self) -> Option<&Arc<str>> {
        let done = |h: &&&Host| {
            let state = h.group_state();
            state != Some(GroupState::Joining)
        };
        self.members
            .values()
            .find(done)
            .and_then(|h| h.model.as_ref())
    }

    /// Returns the order to leave the group.
    pub(super) fn leave_order(&self) -> OrderKind {
        OrderKind::Leave {
            group: self.group.clone(),
            epoch: self.epoch,
        }
    }

    /// Returns the order to finish the running work and close the group.
    pub(super) fn close_order(&self) -> OrderKind {
        OrderKind::Close {
            group: self.group.clone(),
            epoch: self.epoch,
        }
    }
}

/// Collects the groups that hosts report, ordered by name and epoch.
pub(super) fn collect<'a>(hosts: &[&'a Host]) -> Vec<GroupView<'a>> {
    let mut views: BTreeMap<(Arc<str>, u64), GroupView<'a>> = BTreeMap::new();
    for host in hosts {
        let Some(membership) = host.membership() else {
            continue;
        };
        let key = (membership.group.clone(), membership.epoch);
        let view = views.entry(key).or_insert_with(|| GroupView {
            group: membership.group.clone(),
            epoch: membership.epoch,
            members: BTreeMap::new(),
        });
        view.members.insert(membership.rank, *host);
    }
    views.into_values().collect()
}

/// Groups hosts by fabric domain; hosts without one are left out.
pub(super) fn by_domain<'a>(hosts: &[&'a Host]) -> BTreeMap<&'a Arc<str>, Vec<&'a Host>> {
    let mut domains: BTreeMap<&Arc<str>, Vec<&Host>> = BTreeMap::new();
    for host in hosts.iter().copied() {
        if let Some(domain) = &host.fabric_domain {
            domains.entry(domain).or_default().push(host);
        }
    }
    domains
}
