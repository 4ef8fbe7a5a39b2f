//! Steps of processes that lead or believe so.

use super::Steps;
use crate::Mutation;
use crate::groups::GroupAction as A;
use crate::groups::state::{KnownTable, TableWrite};
use crate::groups::{GroupModel, GroupWorld};

impl GroupModel {
    pub(super) fn leader_steps(&self, world: &GroupWorld, leader: u8, steps: &mut Steps) {
        let state = world.leaders[usize::from(leader)];
        if let Some(write) = state.write {
            self.write_steps(world, leader, write, steps);
            return;
        }
        if state.known != Some(world.stored) {
            let mut next = world.clone();
            next.leaders[usize::from(leader)].known = Some(self.after_read(world, state.known));
            if next != *world {
                steps.push((A::Read(leader), next));
            }
        }
        if let Some(known) = state.known {
            self.send_step(world, leader, known, steps);
            self.plan_steps(world, leader, known, steps);
            self.amend_steps(world, leader, known, steps);
        }
    }

    /// The table that a process goes on from: its own if the store holds an older
    /// state, as after a repair during an outage.
    fn after_read(&self, world: &GroupWorld, own: Option<KnownTable>) -> KnownTable {
        let stored = self.facts(world.stored.table).version;
        let ahead = own.filter(|own| self.facts(own.table).version > stored);
        KnownTable {
            table: ahead.map_or(world.stored.table, |own| own.table),
            revision: world.stored.revision,
        }
    }

    fn send_step(&self, world: &GroupWorld, leader: u8, known: KnownTable, steps: &mut Steps) {
        let mut next = world.clone();
        self.send(&mut next, known.table);
        if next.sent != world.sent {
            steps.push((A::SendOrders(leader), next));
        }
    }

    /// Sends the orders of a table.
    pub(super) fn send(&self, world: &mut GroupWorld, table: u32) {
        for order in &self.facts(table).orders {
            let barrier = world.engines[usize::from(order.host)].barrier;
            if order.fencing < barrier {
                continue;
            }
            if let Err(place) = world.sent.binary_search(order) {
                world.sent.insert(place, *order);
            }
        }
    }

    fn write_steps(&self, world: &GroupWorld, leader: u8, write: TableWrite, steps: &mut Steps) {
        let slot = usize::from(leader);
        let mut taken = world.clone();
        taken.leaders[slot].write = None;
        let mut answered = taken.clone();
        answered.leaders[slot].known = self.apply(&mut answered, write);
        steps.push((A::WriteAnswered(leader), answered));
        if world.lost_answers >= self.bounds.lost_answers {
            return;
        }
        taken.lost_answers += 1;
        // Nothing happens before the table is read back.
        taken.leaders[slot].known = None;
        let mut lost = taken.clone();
        if self.apply(&mut lost, write).is_some() {
            steps.push((A::WriteAnswerLost(leader), lost));
        }
        taken.stray_writes.push(write);
        taken.stray_writes.sort_unstable();
        steps.push((A::WriteDelayed(leader), taken));
    }

    /// Applies a conditional write; returns the table that its process then knows.
    fn apply(&self, world: &mut GroupWorld, write: TableWrite) -> Option<KnownTable> {
        let fits = write.expected == world.stored.revision;
        if !fits && !self.mutates(Mutation::TableCas) {
            return None;
        }
        world.stored = KnownTable {
            table: write.table,
            revision: world.stored.revision + 1,
        };
        Some(world.stored)
    }

    pub(super) fn stray_write_steps(&self, world: &GroupWorld, steps: &mut Steps) {
        for index in 0..world.stray_writes.len() {
            let mut next = world.clone();
            let write = next.stray_writes.remove(index);
            if self.apply(&mut next, write).is_some() {
                steps.push((A::StrayWriteArrives, next));
            }
        }
    }
}
