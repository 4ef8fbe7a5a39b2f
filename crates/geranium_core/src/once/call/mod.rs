//! The state machine of one claimed call.

mod claiming;
mod dispatched;
mod phase;
mod recording;
mod waiting;

use self::phase::{Claiming, Dispatched, Pending, Phase, Recording, Waiting};
use super::{
    CLAIM_SCHEMA_VERSION, Claim, ClaimAdmission, ClaimAnswer, ClaimConfig, ClaimEffect,
    ClaimHolder, ClaimInput, ClaimRequest, ClaimState, NotRun, NotRunReason, OpId, OtherAttempts,
    StoredClaim,
};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::StoreRevision;
use crate::time::Timestamp;

/// The state machine of one non-idempotent call.
///
/// It claims the call, dispatches it at most once per claim, responds to the
/// caller exactly once and records the final state for resends. It may continue
/// after the response until that state is recorded; the driver keeps it until
/// [`is_ended`](Self::is_ended).
///
/// Three invariants keep a call from running twice:
/// - The call is dispatched only after the write of its claim is known to have
///   taken effect, and only before [`Claim::dispatch_before`].
/// - Only the holder of an attempt may give it up, by a withdrawal or a new attempt,
///   and only if it is certain that nothing of it was sent to the service.
/// - A running claim of another holder is never taken over, even if that holder
///   is gone.
///
/// # Examples
///
/// ```
/// # use std::time::Duration;
/// # use geranium_core::once::*;
/// # use geranium_core::prelude::*;
/// let now = Timestamp::from_millis(1_000);
/// let request = ClaimRequest {
///     request: RequestId::new("r1"),
///     account: AccountId::new("editorial"),
///     key: "removal-17".parse()?,
///     key_issued_at: None,
///     fingerprint: Fingerprint::of("POST", "/removals", b"{}"),
///     deadline: now + Duration::from_secs(10),
/// };
/// let holder = ClaimHolder {
///     host: HostId::new("entry-1"),
///     incarnation: Incarnation(7),
///     nonce: 1,
/// };
/// let mut budget = ClaimBudget::new(100.0, 50.0);
///
/// let (mut call, effects) =
///     ClaimCall::submit(ClaimConfig::default(), request, holder, &mut budget, now);
/// let ClaimEffect::Write { op, .. } = effects[0] else { panic!("expected a write") };
/// let written = ClaimInput::Written {
///     op,
///     outcome: WriteOutcome::Applied(StoreRevision(5)),
/// };
/// let effects = call.step(now, written);
///
/// assert!(matches!(effects[0], ClaimEffect::Dispatch { attempt: 1, .. }));
/// # Ok::<(), ClaimError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimCall {
    cfg: ClaimConfig,
    request: ClaimRequest,
    holder: ClaimHolder,
    phase: Phase,
    last_op: OpId,
    claim_writes: u32,
    attempts: u32,
    answered: bool,
}

impl ClaimCall {
    /// Starts a call; the holder's nonce must be new within its incarnation.
    pub fn submit(
        cfg: ClaimConfig,
        request: ClaimRequest,
        holder: ClaimHolder,
        admission: &mut impl ClaimAdmission,
        now: Timestamp,
    ) -> (Self, Vec<ClaimEffect>) {
        let mut call = Self {
            cfg,
            request,
            holder,
            phase: Phase::Ended,
            last_op: 0,
            claim_writes: 0,
            attempts: 0,
            answered: false,
        };
        let mut effects = Vec::new();
        if let Err(refusal) = call.check_admission(admission, now) {
            call.answer(ClaimAnswer::NotRun(refusal), &mut effects);
        } else {
            call.write_claim(now, StoreRevision(0), 0, false, &mut effects);
        }
        (call, effects)
    }

    /// Processes one input and returns the resulting effects.
    pub fn step(&mut self, now: Timestamp, input: ClaimInput) -> Vec<ClaimEffect> {
        let mut effects = Vec::new();
        let phase = std::mem::replace(&mut self.phase, Phase::Ended);
        match phase {
            Phase::Claiming(state) => self.step_claiming(now, state, input, &mut effects),
            Phase::Dispatched(state) => self.step_dispatched(now, state, input, &mut effects),
            Phase::Recording(state) => self.step_recording(now, state, input, &mut effects),
            Phase::Waiting(state) => self.step_waiting(now, state, input, &mut effects),
            Phase::Ended => {}
        }
        effects
    }

    /// Returns whether the call has ended and needs no further input.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns whether the caller has received its response.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered
    }

    /// Returns the request that the call belongs to.
    #[must_use]
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// Returns the time of the next [`ClaimInput::Tick`], if one is needed.
    #[must_use]
    pub fn next_wake(&self) -> Option<Timestamp> {
        let delay_end = match &self.phase {
            Phase::Ended => return None,
            Phase::Dispatched(_) => None,
            Phase::Claiming(Claiming { pending, .. })
            | Phase::Recording(Recording { pending, .. })
            | Phase::Waiting(Waiting { pending, .. }) => match pending {
                Pending::Delay(until) => Some(*until),
                Pending::Write(_) | Pending::Read(_) => None,
            },
        };
        let limit = match &self.phase {
            Phase::Recording(state) => state.give_up_at,
            Phase::Dispatched(_) if self.answered => self.late_answer_deadline(),
            Phase::Claiming(_) if self.answered => self.record_retry_deadline(),
            Phase::Claiming(state) => state.claim.dispatch_before,
            _ => self.request.deadline,
        };
        Some(delay_end.map_or(limit, |delay_end| delay_end.min(limit)))
    }

    fn check_admission(
        &self,
        admission: &mut impl ClaimAdmission,
        now: Timestamp,
    ) -> Result<(), NotRun> {
        if now >= self.request.deadline {
            return Err(self.not_run(NotRunReason::DeadlinePassed, OtherAttempts::NotChecked));
        }
        let issued = self.request.key_issued_at;
        let usable = self.cfg.retention.saturating_sub(self.cfg.clock_margin);
        if issued.is_some_and(|issued| now.since(issued) > usable) {
            return Err(self.not_run(NotRunReason::KeyExpired, OtherAttempts::NotChecked));
        }
        admission.admit(now).map_err(|retry_after| NotRun {
            reason: NotRunReason::RateLimited,
            other_attempts: OtherAttempts::NotChecked,
            retry_after,
        })
    }

    fn not_run(&self, reason: NotRunReason, other_attempts: OtherAttempts) -> NotRun {
        NotRun {
            reason,
            other_attempts,
            retry_after: self.cfg.unavailable_retry_after,
        }
    }

    /// Returns what holding `claim` proves about other attempts: none ran, unless
    /// the claim may have expired and been deleted during a long pause.
    fn known_other_attempts(&self, claim: &Claim, now: Timestamp) -> OtherAttempts {
        if now + self.cfg.clock_margin < claim.expires_at {
            OtherAttempts::NoneRan
        } else {
            OtherAttempts::NotChecked
        }
    }

    /// Responds to the caller, unless that has already happened.
    fn answer(&mut self, answer: ClaimAnswer, effects: &mut Vec<ClaimEffect>) {
        if self.answered {
            return;
        }
        self.answered = true;
        effects.push(ClaimEffect::Answer(answer));
    }

    fn emit(&self, kind: EventKind, reason: impl Into<String>, effects: &mut Vec<ClaimEffect>) {
        let subject =
            EventSubject::request(&self.request.request).with_account(&self.request.account);
        effects.push(ClaimEffect::Emit(EventDraft::new(kind, subject, reason)));
    }

    fn read(&mut self, effects: &mut Vec<ClaimEffect>) -> Pending {
        self.last_op += 1;
        effects.push(ClaimEffect::Read {
            op: self.last_op,
            key: self.request.store_key(),
        });
        Pending::Read(self.last_op)
    }

    fn write(
        &mut self,
        claim: &Claim,
        expected: StoreRevision,
        effects: &mut Vec<ClaimEffect>,
    ) -> Pending {
        self.last_op += 1;
        effects.push(ClaimEffect::Write {
            op: self.last_op,
            key: self.request.store_key(),
            claim: Box::new(claim.clone()),
            expected,
        });
        Pending::Write(self.last_op)
    }

    fn retry_delay(&self, now: Timestamp) -> Pending {
        Pending::Delay(now + self.cfg.retry_interval)
    }

    fn late_answer_deadline(&self) -> Timestamp {
        self.request.deadline + self.cfg.late_answer_window
    }

    fn record_retry_deadline(&self) -> Timestamp {
        self.request.deadline + self.cfg.record_retry_window
    }
}
