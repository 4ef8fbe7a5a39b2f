//! Changes of the table that a process may plan.

use geranium_core::engine::Member;
use geranium_core::group::{GroupState, GroupTable};
use geranium_core::id::{GroupId, HostId};

use super::Steps;
use crate::Mutation;
use crate::groups::GroupAction as A;
use crate::groups::bounds::EngineKind;
use crate::groups::facts::host_index;
use crate::groups::model::{GROUP_SIZE, fabric_domain};
use crate::groups::state::{KnownTable, TableWrite};
use crate::groups::{GroupModel, GroupWorld};

/// A changed table with what was changed.
type Change = (String, GroupTable);

impl GroupModel {
    pub(super) fn plan_steps(
        &self,
        world: &GroupWorld,
        leader: u8,
        known: KnownTable,
        steps: &mut Steps,
    ) {
        let table = self.tables.value(known.table);
        if u64::from(known.revision) >= self.bounds.writes {
            return;
        }
        let mut base = world.clone();
        let mut prepared = table.clone();
        let kept = self.take_back(&mut prepared, leader);
        self.acknowledge_releases(&mut base, &mut prepared);
        let mut changes = self.changes(world, &prepared);
        if changes.is_empty() && prepared != table {
            changes.push(("changes no group".to_owned(), prepared));
        }
        for (what, mut changed) in changes {
            self.delegate(&mut changed, leader, kept.as_ref());
            changed.stamp(self.process(leader), 0);
            let mut next = base.clone();
            let table = self.tables.number(changed);
            if self.mutates(Mutation::IntentBeforeOrder) {
                self.send(&mut next, table);
            }
            next.leaders[usize::from(leader)].write = Some(TableWrite {
                table,
                expected: known.revision,
            });
            steps.push((A::Plan(leader, what.into()), next));
        }
    }

    /// Frees the hosts whose engines show that they have left their group.
    fn acknowledge_releases(&self, world: &mut GroupWorld, table: &mut GroupTable) {
        let releasing = table.releasing().clone();
        for (host, fencing) in releasing {
            let index = usize::from(host_index(&host));
            let engine = world.engines[index];
            let left = engine.follows.is_none() && engine.highest >= fencing.0;
            if !left && !self.mutates(Mutation::ReserveBeforeReuse) {
                continue;
            }
            if self.bounds.engines[index] == EngineKind::Ignores
                && !self.mutates(Mutation::UnfencedRest)
            {
                // The host has rested: older orders to it are not on their way any more.
                self.raise_barrier(world, index, fencing.0);
            }
            table
                .acknowledge_release(&host)
                .expect("the host is being released");
        }
    }

    fn changes(&self, world: &GroupWorld, table: &GroupTable) -> Vec<Change> {
        let spares = self.spares(world, table);
        let mut changes = Vec::new();
        let live: Vec<GroupId> = table
            .groups()
            .iter()
            .filter(|(_, group)| group.state != GroupState::Dissolving)
            .map(|(id, _)| id.clone())
            .collect();
        if live.len() < self.bounds.replicas {
            changes.extend(self.formations(table, &spares));
        }
        for id in &live {
            changes.extend(replacements(table, id, &spares));
            let mut changed = table.clone();
            changed.remove(id).expect("the group exists");
            changes.push((format!("removes {id}"), changed));
        }
        changes
    }

    /// Free hosts whose engines report that they follow nothing.
    fn spares(&self, world: &GroupWorld, table: &GroupTable) -> Vec<Member> {
        let idle = |host: &HostId| {
            world.engines[usize::from(host_index(host))]
                .follows
                .is_none()
        };
        let ready = |member: &&Member| {
            let assumed = self.mutates(Mutation::ReserveBeforeReuse);
            table.is_free(&member.host) && (assumed || idle(&member.host))
        };
        self.hosts.iter().filter(ready).cloned().collect()
    }

    fn formations(&self, table: &GroupTable, spares: &[Member]) -> Vec<Change> {
        let mut changes = Vec::new();
        for (first, one) in spares.iter().enumerate() {
            for other in &spares[first + 1..] {
                let members = vec![one.clone(), other.clone()];
                debug_assert_eq!(members.len(), GROUP_SIZE);
                let mut changed = table.clone();
                let id = changed
                    .form(&self.spec, &fabric_domain(), members)
                    .expect("the hosts are free");
                let what = format!("forms {id} of {} and {}", one.host, other.host);
                changes.push((what, changed));
            }
        }
        changes
    }
}

/// Replaces one member, which may be suspected without cause.
fn replacements(table: &GroupTable, id: &GroupId, spares: &[Member]) -> Vec<Change> {
    let mut changes = Vec::new();
    for old in &table.groups()[id].members {
        for new in spares {
            let mut changed = table.clone();
            changed
                .replace_members(id, &[(old.host.clone(), new.clone())])
                .expect("the spare is free");
            let what = format!("replaces {} by {} in {id}", old.host, new.host);
            changes.push((what, changed));
        }
    }
    changes
}
