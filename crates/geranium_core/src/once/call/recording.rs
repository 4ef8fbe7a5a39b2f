//! The recording phase: the final state of an attempt is being written.

use super::{
    Claim, ClaimCall, ClaimEffect, ClaimInput, ClaimState, EventKind, Pending, Phase, Recording,
    StoreRevision, StoredClaim, Timestamp,
};
use crate::once::WriteOutcome;

impl ClaimCall {
    /// Records that the attempt was not run and never will be.
    ///
    /// If the claim write is still in flight, `expected` is the revision that it
    /// expects, so that this record makes it fail.
    pub(super) fn withdraw(
        &mut self,
        now: Timestamp,
        claim: Claim,
        expected: StoreRevision,
        effects: &mut Vec<ClaimEffect>,
    ) {
        self.record(now, claim, expected, ClaimState::NotRun, effects);
    }

    /// Writes a final state over the value at revision `expected`.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        mut claim: Claim,
        expected: StoreRevision,
        state: ClaimState,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let retained_until = claim.expires_at;
        claim.state = state;
        claim.expires_at = now + self.cfg.retention;
        let pending = self.write(&claim, expected, effects);
        self.phase = Phase::Recording(Recording {
            claim,
            retained_until,
            expected,
            pending,
            give_up_at: now + self.cfg.record_retry_window,
        });
    }

    pub(super) fn step_recording(
        &mut self,
        now: Timestamp,
        mut state: Recording,
        input: ClaimInput,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match input {
            ClaimInput::Written { op, outcome } if state.pending == Pending::Write(op) => {
                self.record_written(now, state, outcome, effects);
            }
            _ => {
                if matches!(state.pending, Pending::Delay(until) if now >= until) {
                    state.pending = self.write(&state.claim, state.expected, effects);
                }
                if now < state.give_up_at {
                    self.phase = Phase::Recording(state);
                }
            }
        }
    }

    fn record_written(
        &mut self,
        now: Timestamp,
        mut state: Recording,
        outcome: WriteOutcome,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match outcome {
            WriteOutcome::Applied(_) => self.recorded(&state.claim, effects),
            WriteOutcome::Conflict(present) => {
                let lost = present.is_none() && self.was_lost_by_store(now, &state);
                let own = own_revision(&state.claim, present.as_ref());
                let Some(revision) = own.or(lost.then_some(StoreRevision(0))) else {
                    return;
                };
                if present.and_then(|stored| stored.claim).as_ref() == Some(&state.claim) {
                    self.recorded(&state.claim, effects);
                    return;
                }
                state.expected = revision;
                state.pending = self.write(&state.claim, revision, effects);
                self.phase = Phase::Recording(state);
            }
            // Repeating the write is safe because of its expected revision.
            WriteOutcome::Ambiguous | WriteOutcome::NoEffect => {
                state.pending = self.retry_delay(now);
                self.phase = Phase::Recording(state);
            }
        }
    }

    /// Returns whether an absent claim was lost by the store, as after a restore
    /// from an older backup. The claim of a call that ran has to be written again,
    /// or a resend would run the call a second time.
    fn was_lost_by_store(&self, now: Timestamp, state: &Recording) -> bool {
        let ran = matches!(state.claim.state, ClaimState::Done(_) | ClaimState::Unknown);
        ran && now + self.cfg.clock_margin < state.retained_until
    }

    fn recorded(&self, claim: &Claim, effects: &mut Vec<ClaimEffect>) {
        let attempt = claim.attempt;
        let (kind, reason) = match claim.state {
            ClaimState::Done(_) => (EventKind::ClaimDone, "its response is stored"),
            ClaimState::NotRun => (EventKind::ClaimWithdrawn, "it was not run"),
            ClaimState::Unknown | ClaimState::Running => {
                (EventKind::ClaimUnknown, "its outcome is unknown")
            }
        };
        self.emit(kind, format!("attempt {attempt} ended: {reason}"), effects);
    }
}

/// Returns the revision of the current value if it belongs to the same attempt.
fn own_revision(claim: &Claim, present: Option<&StoredClaim>) -> Option<StoreRevision> {
    let stored = present?;
    let other = stored.claim.as_ref()?;
    other.is_same_attempt(claim).then_some(stored.revision)
}
