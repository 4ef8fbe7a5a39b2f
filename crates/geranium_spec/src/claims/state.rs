//! A state of the claim model.

use super::slot::{Slot, Told, WriteInFlight};

/// The claim in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Stored {
    pub claim: u32,
    pub revision: u8,
}

/// A call that is on its way to the service after its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct StrayCall {
    pub slot: u8,
    pub until: u8,
}

/// A state of the claim model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWorld {
    pub(super) tick: u8,
    pub(super) outage: bool,
    pub(super) stored: Option<Stored>,
    pub(super) last_revision: u8,
    pub(super) slots: Vec<Slot>,
    /// Processes that have ended, by bit.
    pub(super) ended: u8,
    /// Writes whose answer was given up, but which may still arrive.
    pub(super) stray_writes: Vec<WriteInFlight>,
    pub(super) stray_calls: Vec<StrayCall>,
    /// Executions since the last deletion of an expired claim.
    pub(super) executions: u8,
    /// Attempts sent to the service since then, by bit.
    pub(super) sent_attempts: u16,
    pub(super) sent_twice: bool,
    /// A caller was told something that was not true at that time.
    pub(super) told_wrong: bool,
    pub(super) lost_answers: u8,
    pub(super) crashes: u8,
    pub(super) outages: u8,
    pub(super) broken_connections: u8,
}

impl ClaimWorld {
    pub(super) fn runs_at_most_once(&self) -> bool {
        self.executions <= 1
    }

    pub(super) fn not_run_never_runs(&self) -> bool {
        let refused = |slot: &&Slot| matches!(slot.told, Told::NotRun | Told::KeyReused);
        self.slots.iter().filter(refused).all(|slot| slot.ran == 0)
    }

    pub(super) fn sends_each_attempt_once(&self) -> bool {
        !self.sent_twice
    }

    pub(super) fn answers_truthfully(&self) -> bool {
        !self.told_wrong
    }

    pub(super) fn ran_before(&self) -> bool {
        self.slots.iter().any(|slot| slot.ran > 0)
    }

    pub(super) fn told_anyone(&self, told: Told) -> bool {
        self.slots.iter().any(|slot| slot.told == told)
    }
}
