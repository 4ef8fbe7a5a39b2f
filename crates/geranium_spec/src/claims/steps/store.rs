//! Steps of the store: outages, lost answers, delayed writes, deletion.

use geranium_core::id::StoreRevision;
use geranium_core::once::{ClaimInput, ReadOutcome, WriteOutcome};

use super::Steps;
use super::service::run;
use crate::Mutation;
use crate::claims::ClaimAction as A;
use crate::claims::slot::WriteInFlight;
use crate::claims::state::Stored;
use crate::claims::{ClaimModel, ClaimWorld};

impl ClaimModel {
    pub(in crate::claims) fn store_steps(&self, world: &ClaimWorld, steps: &mut Steps) {
        if world.outage {
            let mut next = world.clone();
            next.outage = false;
            steps.push((A::OutageEnds, next));
        } else {
            if world.outages < self.bounds.outages {
                let mut next = world.clone();
                next.outage = true;
                next.outages += 1;
                steps.push((A::OutageBegins, next));
            }
            for index in 0..world.stray_writes.len() {
                let mut next = world.clone();
                let write = next.stray_writes.remove(index);
                self.apply(&mut next, write);
                steps.push((A::StrayWriteArrives, next));
            }
            self.sweep_step(world, steps);
        }
        for index in 0..world.stray_calls.len() {
            let mut next = world.clone();
            let call = next.stray_calls.remove(index);
            run(&mut next, call.slot);
            steps.push((A::StrayCallRuns(call.slot), next));
        }
    }

    /// Leaves out writes that can't take effect any more: revisions only grow.
    pub(in crate::claims) fn drop_lost_writes(&self, world: &mut ClaimWorld) {
        if self.mutates(Mutation::ClaimWithoutCas) {
            return;
        }
        let present = world.stored.map_or(0, |stored| stored.revision);
        world
            .stray_writes
            .retain(|write| write.expected == 0 || write.expected >= present);
        world.stray_writes.dedup();
    }

    pub(in crate::claims) fn sweep_step(&self, world: &ClaimWorld, steps: &mut Steps) {
        let Some(stored) = world.stored else { return };
        let now = self.time(world.tick);
        let expired = self
            .claims
            .with(stored.claim, |claim| now >= claim.expires_at);
        if expired || self.mutates(Mutation::EarlySweep) {
            let mut next = world.clone();
            next.stored = None;
            if expired {
                next.executions = 0;
                next.sent_attempts = 0;
            }
            steps.push((A::Sweep, next));
        }
    }

    /// Applies a conditional write and returns its outcome.
    pub(in crate::claims) fn apply(
        &self,
        world: &mut ClaimWorld,
        write: WriteInFlight,
    ) -> WriteOutcome {
        let present = world.stored.map_or(0, |stored| stored.revision);
        if present != write.expected && !self.mutates(Mutation::ClaimWithoutCas) {
            return WriteOutcome::Conflict(self.stored_claim(world.stored));
        }
        world.last_revision += 1;
        world.stored = Some(Stored {
            claim: write.claim,
            revision: world.last_revision,
        });
        WriteOutcome::Applied(StoreRevision(u64::from(world.last_revision)))
    }

    pub(in crate::claims) fn write_steps(&self, world: &ClaimWorld, slot: u8, steps: &mut Steps) {
        let Some(write) = world.slots[usize::from(slot)].write else {
            return;
        };
        let mut taken = world.clone();
        taken.slots[usize::from(slot)].write = None;
        let op = u64::from(write.op);
        let feed = |world: &mut ClaimWorld, outcome| {
            self.feed(world, slot, ClaimInput::Written { op, outcome });
        };
        if world.outage {
            let mut next = taken.clone();
            feed(&mut next, WriteOutcome::NoEffect);
            steps.push((A::WriteUnreachable(slot), next));
        } else {
            let mut next = taken.clone();
            let outcome = self.apply(&mut next, write);
            feed(&mut next, outcome);
            steps.push((A::WriteAnswered(slot), next));
        }
        if world.lost_answers >= self.bounds.lost_answers {
            return;
        }
        taken.lost_answers += 1;
        let lost = |world: &mut ClaimWorld| {
            let outcome = self.after_lost_answer(world, write);
            feed(world, outcome);
        };
        if !world.outage {
            let mut next = taken.clone();
            self.apply(&mut next, write);
            lost(&mut next);
            steps.push((A::WriteAnswerLost(slot), next));
        }
        let mut next = taken;
        next.stray_writes.push(WriteInFlight { op: 0, ..write });
        next.stray_writes.sort_unstable();
        lost(&mut next);
        steps.push((A::WriteDelayed(slot), next));
    }

    /// Returns what the call machine is told after a lost answer.
    pub(in crate::claims) fn after_lost_answer(
        &self,
        world: &mut ClaimWorld,
        write: WriteInFlight,
    ) -> WriteOutcome {
        if !self.mutates(Mutation::BlindRetry) || world.outage {
            return WriteOutcome::Ambiguous;
        }
        let expected = world.stored.map_or(0, |stored| stored.revision);
        self.apply(world, WriteInFlight { expected, ..write })
    }

    pub(in crate::claims) fn read_steps(&self, world: &ClaimWorld, slot: u8, steps: &mut Steps) {
        let Some(op) = world.slots[usize::from(slot)].read else {
            return;
        };
        let op = u64::from(op);
        let mut next = world.clone();
        next.slots[usize::from(slot)].read = None;
        if world.outage {
            let outcome = ReadOutcome::Failed;
            self.feed(&mut next, slot, ClaimInput::Read { op, outcome });
            steps.push((A::ReadFails(slot), next));
        } else {
            let outcome = ReadOutcome::Found(self.stored_claim(world.stored));
            self.feed(&mut next, slot, ClaimInput::Read { op, outcome });
            steps.push((A::ReadAnswered(slot), next));
        }
    }
}
