//! Requests of callers and what their call machines ask for.

use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_core::once::{
    Claim, ClaimAdmission, ClaimBudget, ClaimCall, ClaimConfig, ClaimEffect, ClaimHolder,
    ClaimInput, ClaimState, HolderStatus,
};

use super::{ClaimRig, Event, holder, request};
use crate::request::{RequestMutation, RequestStep};

impl ClaimRig {
    pub(super) fn submit(&mut self, n: usize) {
        match n {
            0 => self.strike(RequestStep::Admission),
            1 => self.strike(RequestStep::Resend),
            _ => {}
        }
        if self.hosts[n].is_dead() {
            return;
        }
        let now = self.schedule.now();
        let empty = n == 0 && self.step == RequestStep::Refusal;
        let mut budget = ClaimBudget::new(1.0, 2.0);
        if empty {
            self.strike(RequestStep::Refusal);
            let _ = budget.admit(now);
        }
        let (call, effects) = ClaimCall::submit(
            ClaimConfig::default(),
            request(n, now),
            holder(n),
            &mut budget,
            now,
        );
        self.callers[n].call = Some(call);
        self.carry_out(n, effects);
    }

    pub(super) fn feed(&mut self, n: usize, input: ClaimInput) {
        let now = self.schedule.now();
        let Some(call) = &mut self.callers[n].call else {
            return;
        };
        let effects = call.step(now, input);
        self.carry_out(n, effects);
    }

    pub(super) fn carry_out(&mut self, n: usize, effects: Vec<ClaimEffect>) {
        for effect in effects {
            match effect {
                ClaimEffect::Write {
                    op,
                    claim,
                    expected,
                    ..
                } => self.write(n, op, *claim, expected),
                ClaimEffect::Read { op, .. } => {
                    let wait = self.store_way();
                    self.schedule.after(wait, Event::StoreReads(n, op));
                }
                ClaimEffect::CheckHolder { holder } => {
                    let wait = Duration::from_millis(1);
                    self.schedule.after(wait, Event::HolderChecked(n, holder));
                }
                ClaimEffect::Dispatch { attempt, before } => {
                    if !self.callers[n].dispatched_early {
                        let wait = Duration::ZERO;
                        self.schedule.after(wait, Event::Send(n, attempt, before));
                    }
                }
                ClaimEffect::Answer(answer) => self.callers[n].answers.push(answer),
                ClaimEffect::Emit(_) => {}
            }
        }
        let wake = self.callers[n].call.as_ref().and_then(ClaimCall::next_wake);
        if let Some(wake) = wake {
            self.schedule.at(wake, Event::Wake(n));
        }
    }

    pub(super) fn write(&mut self, n: usize, op: u64, claim: Claim, expected: StoreRevision) {
        if claim.state == ClaimState::Running {
            if n == 0 {
                self.strike(RequestStep::Claim);
            }
            if self.mutation == Some(RequestMutation::DispatchBeforeClaim) {
                self.callers[n].dispatched_early = true;
                let send = Event::Send(n, claim.attempt, claim.dispatch_before);
                self.schedule.after(Duration::ZERO, send);
            }
        } else if n == 0 {
            self.strike(RequestStep::AnswerKept);
        }
        let wait = self.store_way();
        self.schedule
            .after(wait, Event::StoreApplies(n, op, claim, expected));
    }

    pub(super) fn check_holder(&mut self, n: usize, holder: ClaimHolder) {
        let of = usize::try_from(holder.nonce).expect("few requests");
        let cut = !self.hosts[n].is_heard(self.schedule.now());
        let heard = of == n || (!cut && self.hosts[of].is_heard(self.schedule.now()));
        let status = if heard {
            HolderStatus::Live
        } else {
            HolderStatus::Gone
        };
        if !heard && self.mutation == Some(RequestMutation::Takeover) {
            self.store.set_free();
        }
        self.feed(n, ClaimInput::Holder { holder, status });
    }
}
