//! Steps of the plain service and of connections to it.

use geranium_core::once::{ClaimInput, UpstreamAnswer, UpstreamOutcome};

use super::Steps;
use crate::Mutation;
use crate::claims::ClaimAction as A;
use crate::claims::slot::Dispatch;
use crate::claims::state::StrayCall;
use crate::claims::{ClaimModel, ClaimWorld};

impl ClaimModel {
    pub(in crate::claims) fn dispatch_steps(
        &self,
        world: &ClaimWorld,
        slot: u8,
        steps: &mut Steps,
    ) {
        match world.slots[usize::from(slot)].dispatch {
            Dispatch::None => {}
            Dispatch::Asked { attempt, before } => {
                self.send_steps(world, slot, attempt, before, steps);
            }
            Dispatch::Sent {
                attempt,
                until,
                ran,
            } => self.sent_steps(world, slot, attempt, until, ran, steps),
        }
    }

    pub(in crate::claims) fn send_steps(
        &self,
        world: &ClaimWorld,
        slot: u8,
        attempt: u8,
        before: u8,
        steps: &mut Steps,
    ) {
        let late = world.tick >= before && !self.mutates(Mutation::LateDispatch);
        if late {
            let next = self.upstream(world, slot, attempt, UpstreamOutcome::NotSent);
            steps.push((A::TooLateToSend(slot), next));
            return;
        }
        let mut next = world.clone();
        let bit = 1 << attempt;
        next.sent_twice |= next.sent_attempts & bit != 0;
        next.sent_attempts |= bit;
        next.slots[usize::from(slot)].dispatch = Dispatch::Sent {
            attempt,
            until: world.tick + 1,
            ran: false,
        };
        steps.push((A::Send(slot), next));
        if world.broken_connections < self.bounds.broken_connections {
            let mut next = world.clone();
            next.broken_connections += 1;
            let next = self.upstream(&next, slot, attempt, UpstreamOutcome::NotSent);
            steps.push((A::ConnectionRefused(slot), next));
        }
    }

    pub(in crate::claims) fn sent_steps(
        &self,
        world: &ClaimWorld,
        slot: u8,
        attempt: u8,
        until: u8,
        ran: bool,
        steps: &mut Steps,
    ) {
        if ran {
            let answer = UpstreamOutcome::Answered(service_answer());
            let next = self.upstream(world, slot, attempt, answer);
            steps.push((A::AnswerArrives(slot), next));
        } else if world.tick <= until {
            let mut next = world.clone();
            run(&mut next, slot);
            next.slots[usize::from(slot)].dispatch = Dispatch::Sent {
                attempt,
                until,
                ran: true,
            };
            steps.push((A::Run(slot), next));
        }
        if world.broken_connections < self.bounds.broken_connections {
            let mut next = world.clone();
            next.broken_connections += 1;
            if !ran && until >= next.tick {
                next.stray_calls.push(StrayCall { slot, until });
                next.stray_calls.sort_unstable();
            }
            let outcome = if self.mutates(Mutation::BrokenTakenForUnsent) {
                UpstreamOutcome::NotSent
            } else {
                UpstreamOutcome::Unknown
            };
            let next = self.upstream(&next, slot, attempt, outcome);
            steps.push((A::ConnectionBreaks(slot), next));
        }
    }

    pub(in crate::claims) fn upstream(
        &self,
        world: &ClaimWorld,
        slot: u8,
        attempt: u8,
        outcome: UpstreamOutcome,
    ) -> ClaimWorld {
        let mut next = world.clone();
        next.slots[usize::from(slot)].dispatch = Dispatch::None;
        let attempt = u32::from(attempt);
        self.feed(&mut next, slot, ClaimInput::Upstream { attempt, outcome });
        next
    }
}

pub(super) fn run(world: &mut ClaimWorld, slot: u8) {
    world.executions += 1;
    world.slots[usize::from(slot)].ran += 1;
}

fn service_answer() -> UpstreamAnswer {
    UpstreamAnswer {
        status: 200,
        headers: Vec::new(),
        body: "ran".into(),
    }
}
