//! How far closing groups, loads and releases have come, as one leader sees it.

use std::collections::BTreeMap;

use crate::group::{GroupState, GroupTable, MemberFault, ReplicaGroup, World};
use crate::id::{FencingNumber, GroupId, HostId};
use crate::time::Timestamp;

#[derive(Clone, Copy, Debug)]
struct Closing {
    since: Timestamp,
    idle_since: Option<Timestamp>,
}

/// How far closing groups, loads and releases have come.
///
/// It lives in the leader's memory alone: a successor starts it anew, which
/// only prolongs the waits.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    closing: BTreeMap<GroupId, Closing>,
    partly_loaded: BTreeMap<GroupId, (FencingNumber, Timestamp)>,
    released: BTreeMap<HostId, (FencingNumber, Timestamp)>,
}

impl Progress {
    /// Takes note of what the latest reports show.
    pub(super) fn update(&mut self, now: Timestamp, world: &World, table: &GroupTable) {
        let groups = table.groups();
        self.closing.retain(|id, _| groups.contains_key(id));
        self.partly_loaded.retain(|id, _| groups.contains_key(id));
        self.released
            .retain(|host, _| table.releasing().contains_key(host));
        for (id, group) in groups {
            self.update_closing(now, world, id, group);
            self.update_partly_loaded(now, world, id, group);
        }
    }

    /// Takes note that an engine took the order to release its host.
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

    /// Returns when an engine took the order to release its host.
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

    /// Returns whether a closing group has no request in progress any more, or has had its time.
    pub(super) fn is_drained(&self, now: Timestamp, world: &World, id: &GroupId) -> bool {
        let Some(closing) = self.closing.get(id) else {
            return false;
        };
        let idle = closing
            .idle_since
            .is_some_and(|t| now.since(t) >= world.config().drain_settle);
        idle || now.since(closing.since) >= world.config().drain_limit
    }

    /// Returns whether part of a group has waited too long for the rest to load.
    pub(super) fn is_straggling(&self, now: Timestamp, world: &World, id: &GroupId) -> bool {
        self.partly_loaded
            .get(id)
            .is_some_and(|(_, since)| now.since(*since) > world.config().straggler_limit)
    }

    fn update_closing(
        &mut self,
        now: Timestamp,
        world: &World,
        id: &GroupId,
        group: &ReplicaGroup,
    ) {
        let going = group.members.iter().any(|m| world.is_going(&m.host));
        if group.state != GroupState::Dissolving && !going {
            self.closing.remove(id);
            return;
        }
        let closing = self.closing.entry(id.clone()).or_insert(Closing {
            since: now,
            idle_since: None,
        });
        let busy = match world.recent(now, &group.members[0].host) {
            Some(o) => o.report.running + o.report.waiting > 0,
            None => true,
        };
        if busy {
            closing.idle_since = None;
        } else {
            closing.idle_since.get_or_insert(now);
        }
    }

    fn update_partly_loaded(
        &mut self,
        now: Timestamp,
        world: &World,
        id: &GroupId,
        group: &ReplicaGroup,
    ) {
        let faults: Vec<_> = (0..group.members.len())
            .map(|rank| world.member_fault(now, id, group, rank))
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
