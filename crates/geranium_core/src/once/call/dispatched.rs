//! The dispatched phase: from the dispatch until the response of the service.

use super::{
    ClaimAnswer, ClaimCall, ClaimEffect, ClaimInput, ClaimState, Dispatched, NotRunReason, Phase,
    Timestamp,
};
use crate::once::{StoredAnswer, UnknownReason, UpstreamAnswer, UpstreamOutcome};

impl ClaimCall {
    pub(super) fn step_dispatched(
        &mut self,
        now: Timestamp,
        state: Dispatched,
        input: ClaimInput,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match input {
            ClaimInput::Upstream { attempt, outcome } if attempt == state.claim.attempt => {
                self.upstream_ended(now, state, outcome, effects);
            }
            _ => self.wait_for_upstream(now, state, effects),
        }
    }

    /// Responds to the caller at the deadline, and waits until the end of the late
    /// answer window for a response to record.
    fn wait_for_upstream(
        &mut self,
        now: Timestamp,
        state: Dispatched,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if now >= self.request.deadline {
            self.answer_unknown(UnknownReason::DeadlinePassed, state.claim.attempt, effects);
        }
        if now >= self.late_answer_deadline() {
            self.record(
                now,
                state.claim,
                state.revision,
                ClaimState::Unknown,
                effects,
            );
        } else {
            self.phase = Phase::Dispatched(state);
        }
    }

    fn upstream_ended(
        &mut self,
        now: Timestamp,
        state: Dispatched,
        outcome: UpstreamOutcome,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match outcome {
            UpstreamOutcome::Answered(answer) => self.upstream_done(now, state, answer, effects),
            UpstreamOutcome::NotSent => self.upstream_not_sent(now, state, effects),
            UpstreamOutcome::Unknown => {
                self.answer_unknown(UnknownReason::ConnectionLost, state.claim.attempt, effects);
                self.record(
                    now,
                    state.claim,
                    state.revision,
                    ClaimState::Unknown,
                    effects,
                );
            }
        }
    }

    fn upstream_done(
        &mut self,
        now: Timestamp,
        state: Dispatched,
        answer: UpstreamAnswer,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let kept = StoredAnswer::of(&answer, self.cfg.max_stored_body);
        self.answer(ClaimAnswer::Done(answer), effects);
        self.record(
            now,
            state.claim,
            state.revision,
            ClaimState::Done(kept),
            effects,
        );
    }

    /// Claims a new attempt if time, attempts and claim writes are left, and
    /// withdraws the claim otherwise.
    fn upstream_not_sent(
        &mut self,
        now: Timestamp,
        state: Dispatched,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let in_time = !self.answered && now < self.request.deadline;
        let attempts_left = self.attempts < self.cfg.max_attempts;
        let writes_left = self.claim_writes < self.cfg.max_claim_writes;
        if in_time && attempts_left && writes_left {
            self.write_claim(now, state.revision, state.claim.attempt, true, effects);
            return;
        }
        let refusal = self.not_run(
            NotRunReason::ServiceUnreachable,
            self.known_other_attempts(&state.claim, now),
        );
        self.answer(ClaimAnswer::NotRun(refusal), effects);
        self.withdraw(now, state.claim, state.revision, effects);
    }
}
