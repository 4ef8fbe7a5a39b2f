//! A store that holds one claim.

use geranium_core::id::StoreRevision;
use geranium_core::once::{Claim, ClaimState, StoredClaim, WriteOutcome};

/// A store that holds one claim.
#[derive(Debug, Default)]
pub(super) struct ClaimStore {
    present: Option<StoredClaim>,
    revision: u64,
}

impl ClaimStore {
    pub(super) fn present(&self) -> Option<StoredClaim> {
        self.present.clone()
    }

    pub(super) fn write(&mut self, claim: &Claim, expected: StoreRevision) -> WriteOutcome {
        let at = self
            .present
            .as_ref()
            .map_or(StoreRevision(0), |stored| stored.revision);
        if at != expected {
            return WriteOutcome::Conflict(self.present());
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        self.present = Some(StoredClaim::read("claim", &claim.encode(), revision));
        WriteOutcome::Applied(revision)
    }

    /// Goes back to a copy from before the claim.
    pub(super) fn restore(&mut self) {
        self.present = None;
    }

    /// Frees a running claim, as no holder may.
    pub(super) fn set_free(&mut self) {
        let claim = self
            .present
            .as_ref()
            .and_then(|stored| stored.claim.clone());
        if let Some(mut claim) = claim.filter(|claim| claim.state == ClaimState::Running) {
            claim.state = ClaimState::NotRun;
            let revision = StoreRevision(self.revision);
            self.write(&claim, revision);
        }
    }
}
