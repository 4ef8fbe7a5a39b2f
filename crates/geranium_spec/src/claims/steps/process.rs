//! Steps of processes: time, requests, call machines and ends.

use geranium_core::once::{
    Claim, ClaimAnswer, ClaimBudget, ClaimCall, ClaimEffect, ClaimInput, ClaimState, OtherAttempts,
};

use super::Steps;
use crate::Mutation;
use crate::claims::ClaimAction as A;
use crate::claims::slot::{Dispatch, Progress, Slot, Told, WriteInFlight};
use crate::claims::state::StrayCall;
use crate::claims::{ClaimModel, ClaimWorld};

impl ClaimModel {
    pub(in crate::claims) fn time_steps(&self, world: &ClaimWorld, steps: &mut Steps) {
        if world.tick < self.bounds.last_tick {
            let mut next = world.clone();
            next.tick += 1;
            next.stray_calls.retain(|call| call.until >= next.tick);
            steps.push((A::TimePasses, next));
        }
        for process in 0..2_u8 {
            let bit = 1 << process;
            if world.crashes < self.bounds.crashes && world.ended & bit == 0 {
                steps.push((A::ProcessEnds(process), self.end_process(world, process)));
            }
        }
    }

    pub(in crate::claims) fn end_process(&self, world: &ClaimWorld, process: u8) -> ClaimWorld {
        let mut next = world.clone();
        next.crashes += 1;
        next.ended |= 1 << process;
        for (index, call) in self.bounds.calls.iter().enumerate() {
            if call.process == process {
                let slot = u8::try_from(index).expect("few requests");
                self.drop_call(&mut next, slot);
            }
        }
        next
    }

    /// The process forgets a call; what it sent may still arrive.
    pub(in crate::claims) fn drop_call(&self, world: &mut ClaimWorld, slot: u8) {
        let state = &mut world.slots[usize::from(slot)];
        state.progress = Progress::Over;
        state.call = 0;
        state.read = None;
        state.check = None;
        if let Some(write) = state.write.take() {
            world.stray_writes.push(WriteInFlight { op: 0, ..write });
            world.stray_writes.sort_unstable();
        }
        if let Dispatch::Sent {
            until, ran: false, ..
        } = state.dispatch
            && until >= world.tick
        {
            world.stray_calls.push(StrayCall { slot, until });
            world.stray_calls.sort_unstable();
        }
        state.dispatch = Dispatch::None;
    }

    pub(in crate::claims) fn submit_step(&self, world: &ClaimWorld, slot: u8, steps: &mut Steps) {
        let process = self.bounds.calls[usize::from(slot)].process;
        if world.ended & (1 << process) == 0 {
            steps.push((A::Submit(slot), self.submit(world, slot)));
        }
    }

    pub(in crate::claims) fn submit(&self, world: &ClaimWorld, slot: u8) -> ClaimWorld {
        let now = self.time(world.tick);
        let mut budget = ClaimBudget::new(1.0, 2.0);
        let request = self.request(slot, now);
        let (call, effects) =
            ClaimCall::submit(self.cfg, request, self.holder(slot), &mut budget, now);
        let mut next = world.clone();
        next.slots[usize::from(slot)].progress = Progress::Running;
        self.take_effects(&mut next, slot, call, effects);
        next
    }

    pub(in crate::claims) fn wake_step(&self, world: &ClaimWorld, slot: u8, steps: &mut Steps) {
        let now = self.time(world.tick);
        let number = world.slots[usize::from(slot)].call;
        let wake = self.calls.with(number, ClaimCall::next_wake);
        if wake.is_some_and(|wake| wake <= now) {
            let mut next = world.clone();
            self.feed(&mut next, slot, ClaimInput::Tick);
            if next != *world {
                steps.push((A::Wake(slot), next));
            }
        }
    }

    /// Feeds an input to a call machine and takes in its effects.
    pub(in crate::claims) fn feed(&self, world: &mut ClaimWorld, slot: u8, input: ClaimInput) {
        let mut call = self.calls.value(world.slots[usize::from(slot)].call);
        let effects = call.step(self.time(world.tick), input);
        self.take_effects(world, slot, call, effects);
    }

    pub(in crate::claims) fn take_effects(
        &self,
        world: &mut ClaimWorld,
        slot: u8,
        call: ClaimCall,
        effects: Vec<ClaimEffect>,
    ) {
        for effect in effects {
            self.take_effect(world, slot, effect);
        }
        if call.is_ended() {
            self.drop_call(world, slot);
        } else {
            world.slots[usize::from(slot)].call = self.calls.number(call);
        }
    }

    pub(in crate::claims) fn take_effect(
        &self,
        world: &mut ClaimWorld,
        slot: u8,
        effect: ClaimEffect,
    ) {
        let state = &mut world.slots[usize::from(slot)];
        match effect {
            ClaimEffect::Read { op, .. } => state.read = Some(op_number(op)),
            ClaimEffect::Write {
                op,
                claim,
                expected,
                ..
            } => {
                if self.mutates(Mutation::DispatchBeforeClaim) {
                    self.dispatch_early(state, &claim);
                }
                state.write = Some(WriteInFlight {
                    op: op_number(op),
                    claim: self.claims.number(*claim),
                    expected: u8::try_from(expected.0).expect("few revisions"),
                });
            }
            ClaimEffect::CheckHolder { holder } => {
                state.check = u8::try_from(holder.nonce).ok();
            }
            ClaimEffect::Dispatch { attempt, before } => {
                if !self.mutates(Mutation::DispatchBeforeClaim) {
                    state.dispatch = Dispatch::Asked {
                        attempt: u8::try_from(attempt).expect("few attempts"),
                        before: self.tick_of(before),
                    };
                }
            }
            ClaimEffect::Answer(answer) => tell(world, slot, &answer),
            ClaimEffect::Emit(_) => {}
        }
    }

    pub(in crate::claims) fn dispatch_early(&self, state: &mut Slot, claim: &Claim) {
        if claim.state == ClaimState::Running && state.dispatch == Dispatch::None {
            state.dispatch = Dispatch::Asked {
                attempt: u8::try_from(claim.attempt).expect("few attempts"),
                before: self.tick_of(claim.dispatch_before),
            };
        }
    }
}

fn op_number(op: u64) -> u8 {
    u8::try_from(op).expect("few operations")
}

/// Notes what the caller is told and whether it is true.
fn tell(world: &mut ClaimWorld, slot: u8, answer: &ClaimAnswer) {
    let (told, is_true) = match answer {
        ClaimAnswer::Done(_) => (Told::Done, world.slots[usize::from(slot)].ran == 1),
        ClaimAnswer::Replayed(_) => (Told::Replayed, world.ran_before()),
        ClaimAnswer::NotRun(refusal) => {
            let none_ran = refusal.other_attempts == OtherAttempts::NoneRan;
            (Told::NotRun, !none_ran || world.executions == 0)
        }
        ClaimAnswer::OutcomeUnknown(_) => (Told::Unknown, true),
        ClaimAnswer::InProgress(_) => (Told::InProgress, true),
        ClaimAnswer::KeyReused => (Told::KeyReused, true),
    };
    world.told_wrong |= !is_true;
    world.slots[usize::from(slot)].told = told;
}
