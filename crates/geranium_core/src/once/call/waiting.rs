//! The waiting phase: another holder is running the same call.

use std::time::Duration;

use super::{
    Claim, ClaimAnswer, ClaimCall, ClaimEffect, ClaimInput, ClaimState, Pending, Phase,
    StoredClaim, Timestamp, Waiting,
};
use crate::once::{HolderStatus, InProgress, ReadOutcome, UnknownReason};

/// Number of times that the delay between two polls doubles.
const MAX_POLL_DOUBLINGS: u32 = 3;

impl ClaimCall {
    /// Starts to poll the holder's claim, unless the deadline comes before the first
    /// poll.
    pub(super) fn wait_for_holder(
        &mut self,
        now: Timestamp,
        claim: Claim,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let next_poll = now + self.cfg.poll_interval;
        if next_poll >= self.request.deadline {
            self.answer_in_progress(claim.attempt, effects);
            return;
        }
        effects.push(ClaimEffect::CheckHolder {
            holder: claim.holder.clone(),
        });
        self.phase = Phase::Waiting(Waiting {
            claim,
            holder_gone: false,
            store_failed: false,
            polls: 0,
            pending: Pending::Delay(next_poll),
        });
    }

    pub(super) fn step_waiting(
        &mut self,
        now: Timestamp,
        mut state: Waiting,
        input: ClaimInput,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match input {
            ClaimInput::Read { op, outcome } if state.pending == Pending::Read(op) => {
                self.waiting_read(now, state, outcome, effects);
                return;
            }
            ClaimInput::Holder { holder, status }
                if status == HolderStatus::Gone
                    && holder == state.claim.holder
                    && !state.holder_gone =>
            {
                // The holder may have recorded its outcome before it ended.
                state.holder_gone = true;
                state.pending = self.read(effects);
            }
            _ => {}
        }
        if now >= self.request.deadline {
            self.stop_waiting(&state, effects);
            return;
        }
        if matches!(state.pending, Pending::Delay(until) if now >= until) {
            state.pending = self.read(effects);
        }
        self.phase = Phase::Waiting(state);
    }

    fn waiting_read(
        &mut self,
        now: Timestamp,
        mut state: Waiting,
        outcome: ReadOutcome,
        effects: &mut Vec<ClaimEffect>,
    ) {
        match outcome {
            ReadOutcome::Failed => {
                state.store_failed = true;
                state.pending = self.retry_delay(now);
                self.keep_waiting(now, state, effects);
            }
            ReadOutcome::Found(None) => {
                self.answer_unknown(UnknownReason::ClaimExpired, state.claim.attempt, effects);
            }
            ReadOutcome::Found(Some(stored)) => {
                let still_running = stored.claim.as_ref() == Some(&state.claim);
                if !still_running {
                    self.handle_changed_claim(now, &state, stored, effects);
                } else if state.holder_gone {
                    self.answer_unknown(UnknownReason::HolderGone, state.claim.attempt, effects);
                } else {
                    state.store_failed = false;
                    state.polls += 1;
                    state.pending = Pending::Delay(now + self.poll_delay(state.polls));
                    effects.push(ClaimEffect::CheckHolder {
                        holder: state.claim.holder.clone(),
                    });
                    self.keep_waiting(now, state, effects);
                }
            }
        }
    }

    /// Acts on a changed claim; after the deadline, no new attempt is claimed.
    fn handle_changed_claim(
        &mut self,
        now: Timestamp,
        state: &Waiting,
        stored: StoredClaim,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let may_run = stored
            .claim
            .as_ref()
            .is_some_and(|claim| matches!(claim.state, ClaimState::NotRun | ClaimState::Running));
        if may_run && now >= self.request.deadline {
            self.stop_waiting(state, effects);
        } else {
            self.handle_present_claim(now, Some(stored), effects);
        }
    }

    fn keep_waiting(&mut self, now: Timestamp, state: Waiting, effects: &mut Vec<ClaimEffect>) {
        if now >= self.request.deadline {
            self.stop_waiting(&state, effects);
        } else {
            self.phase = Phase::Waiting(state);
        }
    }

    /// Returns the delay before the next poll. It doubles with each of the first
    /// [`MAX_POLL_DOUBLINGS`] polls, so that long calls cause few store reads.
    fn poll_delay(&self, polls: u32) -> Duration {
        self.cfg.poll_interval * (1 << polls.min(MAX_POLL_DOUBLINGS))
    }

    fn stop_waiting(&mut self, state: &Waiting, effects: &mut Vec<ClaimEffect>) {
        let attempt = state.claim.attempt;
        if state.holder_gone {
            self.answer_unknown(UnknownReason::HolderGone, attempt, effects);
        } else if state.store_failed {
            self.answer_unknown(UnknownReason::StoreUnavailable, attempt, effects);
        } else {
            self.answer_in_progress(attempt, effects);
        }
    }

    fn answer_in_progress(&mut self, attempt: u32, effects: &mut Vec<ClaimEffect>) {
        let refusal = InProgress {
            attempt,
            retry_after: self.cfg.unavailable_retry_after,
        };
        self.answer(ClaimAnswer::InProgress(refusal), effects);
    }
}
