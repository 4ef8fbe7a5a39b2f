//! Progress of draining groups, loads and releases, as observed by one leader.

use std::collections::BTreeMap;

use crate::group::{DomainView, GroupState, GroupTable, MemberFault, ReplicaGroup};
use crate::id::{FencingNumber, GroupId, HostId};
use crate::time::Timestamp;

#[derive(Clone, Copy, Debug)]
struct Draining {
    since: Timestamp,
    idle_since: Option<Timestamp>,
}

/// Progress of draining groups, loads and releases.
///
/// It is kept only in the leader's memory. A new leader starts from scratch, which
/// only prolongs the waiting times.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    draining: BTreeMap<GroupId, Draining>,
    partly_loaded: BTreeMap<GroupId, (FencingNumber, Timestamp)>,
    released: BTreeMap<HostId, (FencingNumber, Timestamp)>,
}

impl Progress {
    /// Updates the progress from the latest reports.
    pub(super) fn update(&mut self, now: Timestamp, view: &DomainView, table: &GroupTable) {
        let groups = table.groups();
        self.draining.retain(|id, _| groups.contains_key(id));
        self.partly_loaded.retain(|id, _| groups.contains_key(id));
        self.released
            .retain(|host, _| table.releasing().contains_key(host));
        for (id, group) in groups {
            self.update_draining(now, view, id, group);
            self.update_partly_loaded(now, view, id, group);
        }
    }

    /// Records that an engine accepted the release order of its host.
    pub(super) fn release_accepted(
        &mut self,
        now: Timestamp,
        host: &HostId,
        fencing: FencingNumber,
    ) {
        let entry = self.released.entry(host.clone()).or_insert((fencing, now));
        if entry.0 != fencing {
            *entry = (fencing, now);
        }
    }

    /// Returns when an engine accepted the release order of its host.
    pub(super) fn release_accepted_at(
        &self,
        host: &HostId,
        fencing: FencingNumber,
    ) -> Option<Timestamp> {
        self.released
            .get(host)
            .filter(|(f, _)| *f == fencing)
            .map(|(_, at)| *at)
    }

    /// Returns whether a draining group has been idle for long enough or has reached the
    /// time limit for draining.
    pub(super) fn is_drained(&self, now: Timestamp, view: &DomainView, id: &GroupId) -> bool {
        let Some(draining) = self.draining.get(id) else {
            return false;
        };
        let idle = draining
            .idle_since
            .is_some_and(|t| now.since(t) >= view.config().drain_idle_period);
        idle || now.since(draining.since) >= view.config().drain_limit
    }

    /// Returns whether the loaded members of a group have waited too long for the others.
    pub(super) fn is_straggling(&self, now: Timestamp, view: &DomainView, id: &GroupId) -> bool {
        self.partly_loaded
            .get(id)
            .is_some_and(|(_, since)| now.since(*since) > view.config().straggler_limit)
    }

    fn update_draining(
        &mut self,
        now: Timestamp,
        view: &DomainView,
        id: &GroupId,
        group: &ReplicaGroup,
    ) {
        let leaving = group
            .members
            .iter()
            .any(|m| view.is_leaving_service(&m.host));
        if group.state != GroupState::Dissolving && !leaving {
            self.draining.remove(id);
            return;
        }
        let draining = self.draining.entry(id.clone()).or_insert(Draining {
            since: now,
            idle_since: None,
        });
        let busy = match view.recent(now, &group.members[0].host) {
            Some(o) => o.report.running + o.report.waiting > 0,
            None => true,
        };
        if busy {
            draining.idle_since = None;
        } else {
            draining.idle_since.get_or_insert(now);
        }
    }

    fn update_partly_loaded(
        &mut self,
        now: Timestamp,
        view: &DomainView,
        id: &GroupId,
        group: &ReplicaGroup,
    ) {
        let faults: Vec<_> = (0..group.members.len())
            .map(|rank| view.member_fault(now, id, group, rank))
            .collect();
        let loaded = faults.iter().filter(|fault| fault.is_none()).count();
        let loading = faults.iter().flatten().any(is_loading);
        if loaded == 0 || !loading {
            self.partly_loaded.remove(id);
            return;
        }
        let entry = self
            .partly_loaded
            .entry(id.clone())
            .or_insert((group.fencing, now));
        if entry.0 != group.fencing {
            *entry = (group.fencing, now);
        }
    }
}

fn is_loading(fault: &MemberFault) -> bool {
    matches!(
        fault,
        MemberFault::Loading(_) | MemberFault::Unassigned(_) | MemberFault::OtherAssignment(..)
    )
}
