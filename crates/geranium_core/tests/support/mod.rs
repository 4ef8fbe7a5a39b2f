//! Fixtures for the claim tests: a compare-and-swap store and constructors of inputs.

use std::time::Duration;

use geranium_core::once::{
    Claim, ClaimAnswer, ClaimBudget, ClaimCall, ClaimConfig, ClaimEffect, ClaimHolder, ClaimInput,
    ClaimRequest, Fingerprint, OpId, ReadOutcome, StoredClaim, UpstreamAnswer, UpstreamOutcome,
    WriteOutcome,
};
use geranium_core::prelude::*;

/// Time at which the first call is submitted.
pub const START: Timestamp = Timestamp::from_millis(1_000_000_000);

/// A store that holds one claim.
#[derive(Default)]
pub struct OneClaimStore {
    pub present: Option<StoredClaim>,
    pub revision: u64,
}

impl OneClaimStore {
    pub fn write(&mut self, claim: &Claim, expected: StoreRevision) -> WriteOutcome {
        let at = self
            .present
            .as_ref()
            .map_or(StoreRevision(0), |stored| stored.revision);
        if at != expected {
            return WriteOutcome::Conflict(self.present.clone());
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        let key = "claim";
        self.present = Some(StoredClaim::read(key, &claim.encode(), revision));
        WriteOutcome::Applied(revision)
    }

    pub fn read(&self) -> ReadOutcome {
        ReadOutcome::Found(self.present.clone())
    }
}

/// The effects of one step of a call, by kind.
#[derive(Debug, Default)]
pub struct StepActions {
    pub write: Option<(OpId, Claim, StoreRevision)>,
    pub read: Option<OpId>,
    pub dispatch: Option<u32>,
    pub answer: Option<ClaimAnswer>,
    pub holder_check: Option<ClaimHolder>,
    pub events: Vec<EventKind>,
}

impl StepActions {
    pub fn of(effects: Vec<ClaimEffect>) -> Self {
        let mut actions = Self::default();
        for effect in effects {
            match effect {
                ClaimEffect::Read { op, .. } => actions.read = Some(op),
                ClaimEffect::Write {
                    op,
                    claim,
                    expected,
                    ..
                } => actions.write = Some((op, *claim, expected)),
                ClaimEffect::CheckHolder { holder } => actions.holder_check = Some(holder),
                ClaimEffect::Dispatch { attempt, .. } => actions.dispatch = Some(attempt),
                ClaimEffect::Answer(answer) => actions.answer = Some(answer),
                ClaimEffect::Emit(draft) => actions.events.push(draft.kind),
            }
        }
        actions
    }
}

pub fn holder(host: &str, nonce: u64) -> ClaimHolder {
    ClaimHolder {
        host: HostId::new(host),
        incarnation: Incarnation(1),
        nonce,
    }
}

pub fn request(body: &str) -> ClaimRequest {
    ClaimRequest {
        request: RequestId::new("r1"),
        account: AccountId::new("editorial"),
        key: "removal-17".parse().expect("valid key"),
        key_issued_at: None,
        fingerprint: Fingerprint::of("POST", "/removals", body.as_bytes()),
        deadline: START + Duration::from_secs(10),
    }
}

pub fn submit(
    request: ClaimRequest,
    holder: ClaimHolder,
    now: Timestamp,
) -> (ClaimCall, StepActions) {
    let mut budget = ClaimBudget::new(100.0, 100.0);
    let (call, effects) =
        ClaimCall::submit(ClaimConfig::default(), request, holder, &mut budget, now);
    (call, StepActions::of(effects))
}

pub fn step(call: &mut ClaimCall, now: Timestamp, input: ClaimInput) -> StepActions {
    StepActions::of(call.step(now, input))
}

/// Applies the write that a step requested, and passes the outcome to the call.
pub fn apply_write(
    call: &mut ClaimCall,
    store: &mut OneClaimStore,
    now: Timestamp,
    actions: &StepActions,
) -> StepActions {
    let (op, claim, expected) = actions.write.as_ref().expect("a requested write");
    let outcome = store.write(claim, *expected);
    step(call, now, ClaimInput::Written { op: *op, outcome })
}

pub fn write_result(actions: &StepActions, outcome: WriteOutcome) -> ClaimInput {
    let (op, _, _) = actions.write.as_ref().expect("a requested write");
    ClaimInput::Written { op: *op, outcome }
}

pub fn read_result(actions: &StepActions, outcome: ReadOutcome) -> ClaimInput {
    let op = actions.read.expect("a requested read");
    ClaimInput::Read { op, outcome }
}

pub fn upstream_result(attempt: u32, outcome: UpstreamOutcome) -> ClaimInput {
    ClaimInput::Upstream { attempt, outcome }
}

pub fn service_answer(body: &str) -> UpstreamAnswer {
    UpstreamAnswer {
        status: 200,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: body.to_owned().into(),
    }
}
