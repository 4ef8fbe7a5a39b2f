//! The claim model: its fixed parts and its properties.

use std::time::Duration;

use geranium_core::id::{AccountId, HostId, Incarnation, RequestId, StoreRevision};
use geranium_core::once::{
    Claim, ClaimCall, ClaimConfig, ClaimHolder, ClaimRequest, Fingerprint, StoredClaim,
};
use geranium_core::time::Timestamp;

use super::slot::{Slot, Told};
use super::state::Stored;
use super::{ClaimAction, ClaimBounds, ClaimWorld};
use crate::{Interner, Model, Mutation, Property, Witness};

/// Time of tick zero.
const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Duration of one tick.
const TICK: Duration = Duration::from_secs(1);

/// The claim model.
#[derive(Debug)]
pub struct ClaimModel {
    pub(super) bounds: ClaimBounds,
    pub(super) mutation: Option<Mutation>,
    pub(super) cfg: ClaimConfig,
    pub(super) calls: Interner<ClaimCall>,
    pub(super) claims: Interner<Claim>,
}

impl ClaimModel {
    /// Makes a model, with one guard removed if a mutation is given.
    #[must_use]
    pub fn new(bounds: ClaimBounds, mutation: Option<Mutation>) -> Self {
        let ticks = |count: u8| TICK * u32::from(count);
        let cfg = ClaimConfig {
            dispatch_window: ticks(bounds.dispatch_ticks),
            retention: ticks(bounds.retention_ticks),
            clock_margin: Duration::ZERO,
            poll_interval: TICK,
            retry_interval: TICK,
            late_answer_window: TICK,
            record_retry_window: TICK,
            max_claim_writes: 4,
            ..ClaimConfig::default()
        };
        Self {
            bounds,
            mutation,
            cfg,
            calls: Interner::default(),
            claims: Interner::default(),
        }
    }

    pub(super) fn mutates(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    pub(super) fn time(&self, tick: u8) -> Timestamp {
        START + TICK * u32::from(tick)
    }

    pub(super) fn tick_of(&self, time: Timestamp) -> u8 {
        let ticks = time.since(START).as_secs() / TICK.as_secs();
        u8::try_from(ticks).unwrap_or(u8::MAX)
    }

    pub(super) fn holder(&self, slot: u8) -> ClaimHolder {
        let process = self.bounds.calls[usize::from(slot)].process;
        ClaimHolder {
            host: HostId::new(format!("entry-{process}")),
            incarnation: Incarnation(1),
            nonce: u64::from(slot),
        }
    }

    pub(super) fn request(&self, slot: u8, now: Timestamp) -> ClaimRequest {
        let other = self.bounds.calls[usize::from(slot)].other_request;
        let body: &[u8] = if other { b"other" } else { b"same" };
        ClaimRequest {
            request: RequestId::new("request"),
            account: AccountId::new("account"),
            key: "key".parse().expect("valid key"),
            key_issued_at: None,
            fingerprint: Fingerprint::of("POST", "/", body),
            deadline: now + TICK * u32::from(self.bounds.deadline_ticks),
        }
    }

    pub(super) fn stored_claim(&self, stored: Option<Stored>) -> Option<StoredClaim> {
        let stored = stored?;
        Some(StoredClaim {
            claim: Some(self.claims.value(stored.claim)),
            revision: StoreRevision(u64::from(stored.revision)),
        })
    }
}

impl Model for ClaimModel {
    type State = ClaimWorld;
    type Action = ClaimAction;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn initial(&self) -> ClaimWorld {
        let nothing_sent = ClaimWorld {
            tick: 0,
            outage: false,
            stored: None,
            last_revision: 0,
            slots: vec![Slot::new(); self.bounds.calls.len()],
            ended: 0,
            stray_writes: Vec::new(),
            stray_calls: Vec::new(),
            executions: 0,
            sent_attempts: 0,
            sent_twice: false,
            told_wrong: false,
            lost_answers: 0,
            crashes: 0,
            outages: 0,
            broken_connections: 0,
        };
        self.submit(&nothing_sent, 0)
    }

    fn successors(&self, state: &ClaimWorld) -> Vec<(ClaimAction, ClaimWorld)> {
        self.steps(state)
    }

    fn properties(&self) -> Vec<Property<ClaimWorld>> {
        vec![
            Property {
                name: "a call runs at most once",
                holds: ClaimWorld::runs_at_most_once,
            },
            Property {
                name: "a request refused as not run never runs",
                holds: ClaimWorld::not_run_never_runs,
            },
            Property {
                name: "an attempt is sent at most once",
                holds: ClaimWorld::sends_each_attempt_once,
            },
            Property {
                name: "answers are true when they are given",
                holds: ClaimWorld::answers_truthfully,
            },
        ]
    }

    fn witnesses(&self) -> Vec<Witness<ClaimWorld>> {
        if !self.bounds.expects_witnesses {
            return Vec::new();
        }
        vec![
            Witness {
                name: "a fresh answer",
                shows: |world| world.told_anyone(Told::Done),
            },
            Witness {
                name: "a refusal as not run",
                shows: |world| world.told_anyone(Told::NotRun),
            },
            Witness {
                name: "an unknown outcome",
                shows: |world| world.told_anyone(Told::Unknown),
            },
            Witness {
                name: "a request in progress or replayed",
                shows: |world| {
                    world.told_anyone(Told::InProgress)
                        || world.told_anyone(Told::Replayed)
                        || world.told_anyone(Told::KeyReused)
                },
            },
            Witness {
                name: "a second attempt after one that was not run",
                shows: |world| world.sent_attempts & 0b100 != 0 && world.executions == 1,
            },
        ]
    }
}
