//! Steps of the failure detector.

use geranium_core::once::{ClaimInput, ClaimState, HolderStatus};

use super::Steps;
use crate::Mutation;
use crate::claims::ClaimAction as A;
use crate::claims::state::Stored;
use crate::claims::{ClaimModel, ClaimWorld};

impl ClaimModel {
    /// The failure detector may err both ways.
    pub(in crate::claims) fn check_steps(&self, world: &ClaimWorld, slot: u8, steps: &mut Steps) {
        let Some(asked) = world.slots[usize::from(slot)].check else {
            return;
        };
        let holder = self.holder(asked);
        let mut taken = world.clone();
        taken.slots[usize::from(slot)].check = None;
        steps.push((A::HolderLive(slot), taken.clone()));
        let mut next = taken;
        if self.mutates(Mutation::Takeover) {
            self.set_free(&mut next);
        }
        let status = HolderStatus::Gone;
        self.feed(&mut next, slot, ClaimInput::Holder { holder, status });
        steps.push((A::HolderGone(slot), next));
    }

    pub(in crate::claims) fn set_free(&self, world: &mut ClaimWorld) {
        let Some(stored) = world.stored else { return };
        let mut claim = self.claims.value(stored.claim);
        if claim.state == ClaimState::Running {
            claim.state = ClaimState::NotRun;
            world.last_revision += 1;
            world.stored = Some(Stored {
                claim: self.claims.number(claim),
                revision: world.last_revision,
            });
        }
    }
}
