//! The claiming phase: from the submission until the claim is confirmed to be in
//! the store.

use super::{
    CLAIM_SCHEMA_VERSION, Claim, ClaimAnswer, ClaimCall, ClaimEffect, ClaimInput, ClaimState,
    Claiming, Dispatched, EventKind, NotRunReason, OtherAttempts, Pending, Phase, StoreRevision,
    StoredClaim, Timestamp,
};
use crate::once::{OutcomeUnknown, ReadOutcome, UnknownReason, WriteOutcome};

impl ClaimCall {
    /// Writes a claim for the next attempt over the value at revision `expected`,
    /// which belongs to `attempt`.
    pub(super) fn write_claim(
        &mut self,
        now: Timestamp,
        expected: StoreRevision,
        attempt: u32,
        replaces_own_attempt: bool,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let claim = Claim {
            version: CLAIM_SCHEMA_VERSION,
            fingerprint: self.request.fingerprint.clone(),
            attempt: attempt + 1,
            holder: self.holder.clone(),
            dispatch_before: self.request.deadline.min(now + self.cfg.dispatch_window),
            expires_at: now + self.cfg.retention,
            state: ClaimState::Running,
        };
        self.claim_writes += 1;
        let pending = self.write(&claim, expected, effects);
        self.phase = Phase::Claiming(Claiming {
            claim,
            expected,
            ambiguous: false,
            replaces_own_attempt,
            pending,
        });
    }

    pub(super) fn step_claiming(
        &mut self,
        now: Timestamp,
        mut state: Claiming,
        input: ClaimInput,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if now >= state.claim.dispatch_before {
            let refusal = self.not_run(self.late_reason(now), OtherAttempts::NotChecked);
            self.answer(ClaimAnswer::NotRun(refusal), effects);
        }
        match input {
            ClaimInput::Written { op, outcome } if state.pending == Pending::Write(op) => {
                self.claim_written(now, state, outcome, effects);
            }
            ClaimInput::Read { op, outcome } if state.pending == Pending::Read(op) => {
                self.claim_read_back(now, state, outcome, effects);
            }
            _ => {
                if matches!(state.pending, Pending::Delay(until) if now >= until) {
                    state.pending = self.read(effects);
                }
                let given_up = self.answered && now >= self.record_retry_deadline();
                if !given_up {
                    self.phase = Phase::Claiming(state);
                }
            }
        }
    }

    fn claim_written(
        &mut self,
        now: Timestamp,
        mut state: Claiming,
        outcome: WriteOutcome,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match outcome {
            WriteOutcome::Applied(revision) => self.claim_held(now, state.claim, revision, effects),
            WriteOutcome::Conflict(present) => self.claim_conflicted(now, state, present, effects),
            WriteOutcome::NoEffect if !state.ambiguous => {
                self.claim_rejected(now, state, effects);
            }
            WriteOutcome::NoEffect => {
                state.pending = self.retry_delay(now);
                self.phase = Phase::Claiming(state);
            }
            WriteOutcome::Ambiguous => {
                state.ambiguous = true;
                state.pending = self.read(effects);
                self.emit(
                    EventKind::StoreAmbiguous,
                    "outcome of the claim write is unknown; reading the claim back",
                    effects,
                );
                self.phase = Phase::Claiming(state);
            }
        }
    }

    /// Handles a claim write that had no effect while no other one is in flight.
    fn claim_rejected(&mut self, now: Timestamp, state: Claiming, effects: &mut Vec<ClaimEffect>) {
        let refusal = self.not_run(NotRunReason::StoreUnavailable, OtherAttempts::NotChecked);
        self.answer(ClaimAnswer::NotRun(refusal), effects);
        if state.replaces_own_attempt {
            self.withdraw(now, state.claim, state.expected, effects);
        }
    }

    fn claim_read_back(
        &mut self,
        now: Timestamp,
        mut state: Claiming,
        outcome: ReadOutcome,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match outcome {
            ReadOutcome::Failed => {
                state.pending = self.retry_delay(now);
                self.phase = Phase::Claiming(state);
            }
            ReadOutcome::Found(present) if revision_of(present.as_ref()) == state.expected => {
                self.claim_not_applied_yet(now, state, effects);
            }
            ReadOutcome::Found(present) => self.claim_conflicted(now, state, present, effects),
        }
    }

    /// Handles a claim write of unknown outcome that has not taken effect, but
    /// still may.
    ///
    /// Repeating the write with the same value and expected revision is safe:
    /// whichever of the two is applied first makes the other one fail.
    fn claim_not_applied_yet(
        &mut self,
        now: Timestamp,
        mut state: Claiming,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if self.answered {
            self.withdraw(now, state.claim, state.expected, effects);
            return;
        }
        state.pending = self.write(&state.claim, state.expected, effects);
        self.phase = Phase::Claiming(state);
    }

    /// Handles a value that is no longer at the expected revision.
    fn claim_conflicted(
        &mut self,
        now: Timestamp,
        state: Claiming,
        present: Option<StoredClaim>,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let own = present.as_ref().and_then(|stored| {
            let claim = stored.claim.as_ref()?;
            (*claim == state.claim).then_some(stored.revision)
        });
        match own {
            Some(revision) => self.claim_held(now, state.claim, revision, effects),
            None => self.handle_present_claim(now, present, effects),
        }
    }

    /// Dispatches a claim that is confirmed to be in the store, or withdraws it if it
    /// is too late.
    fn claim_held(
        &mut self,
        now: Timestamp,
        claim: Claim,
        revision: StoreRevision,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if self.answered || now >= claim.dispatch_before {
            let refusal = self.not_run(
                self.late_reason(now),
                self.known_other_attempts(&claim, now),
            );
            self.answer(ClaimAnswer::NotRun(refusal), effects);
            self.withdraw(now, claim, revision, effects);
            return;
        }
        self.attempts += 1;
        effects.push(ClaimEffect::Dispatch {
            attempt: claim.attempt,
            before: claim.dispatch_before,
        });
        let reason = format!("attempt {} is claimed and dispatched", claim.attempt);
        self.emit(EventKind::ClaimMade, reason, effects);
        self.phase = Phase::Dispatched(Dispatched { claim, revision });
    }

    /// Acts on the value that was found in place of the call's own claim.
    pub(super) fn handle_present_claim(
        &mut self,
        now: Timestamp,
        present: Option<StoredClaim>,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if self.answered {
            return;
        }
        let Some(StoredClaim { claim, revision }) = present else {
            self.retry_claim(now, StoreRevision(0), 0, effects);
            return;
        };
        let Some(claim) = claim else {
            self.answer_unknown(UnknownReason::Unreadable, 0, effects);
            return;
        };
        if claim.fingerprint != self.request.fingerprint {
            self.answer(ClaimAnswer::KeyReused, effects);
            return;
        }
        match claim.state {
            ClaimState::Done(answer) => self.answer(ClaimAnswer::Replayed(answer), effects),
            ClaimState::Unknown => {
                self.answer_unknown(UnknownReason::Recorded, claim.attempt, effects);
            }
            ClaimState::NotRun => self.retry_claim(now, revision, claim.attempt, effects),
            ClaimState::Running => self.wait_for_holder(now, claim, effects),
        }
    }

    /// Returns the reason why a claim is too late to be dispatched.
    fn late_reason(&self, now: Timestamp) -> NotRunReason {
        if now >= self.request.deadline {
            NotRunReason::DeadlinePassed
        } else {
            NotRunReason::StoreUnavailable
        }
    }

    fn retry_claim(
        &mut self,
        now: Timestamp,
        expected: StoreRevision,
        attempt: u32,
        effects: &mut Vec<ClaimEffect>,
    ) {
        if self.claim_writes >= self.cfg.max_claim_writes {
            let refusal = self.not_run(NotRunReason::Contended, OtherAttempts::NotChecked);
            self.answer(ClaimAnswer::NotRun(refusal), effects);
            return;
        }
        self.write_claim(now, expected, attempt, false, effects);
    }

    pub(super) fn answer_unknown(
        &mut self,
        reason: UnknownReason,
        attempt: u32,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let unknown = OutcomeUnknown { reason, attempt };
        self.answer(ClaimAnswer::OutcomeUnknown(unknown), effects);
    }
}

fn revision_of(present: Option<&StoredClaim>) -> StoreRevision {
    present.map_or(StoreRevision(0), |stored| stored.revision)
}
