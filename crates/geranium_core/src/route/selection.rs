//! Selection of the candidates of one routing decision.

use super::candidate_set::CandidateSet;
use super::slot::GroupSlot;
use super::{Candidate, ColdCredits};
use crate::time::Timestamp;

/// Inputs of one routing decision that are the same for all groups.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionContext<'a, C> {
    /// Current time.
    pub(super) now: Timestamp,
    /// Number of blocks in the prompt.
    pub(super) blocks: u32,
    /// Mean number of pending blocks per in-flight request of this host.
    pub(super) mean_pending: f32,
    /// Slots of the groups that the query excludes.
    pub(super) excluded: &'a [u16],
    /// Cold credits of this host.
    pub(super) credits: &'a C,
    /// Whether any group that reports itself warm is marked as cold.
    pub(super) has_cold_marks: bool,
}

impl<C: ColdCredits> SelectionContext<'_, C> {
    /// Adds a group to the candidates, or records why it is excluded.
    pub(super) fn consider(
        &self,
        position: u16,
        slot: &GroupSlot,
        cached_blocks: u32,
        remote: bool,
        candidates: &mut CandidateSet,
    ) {
        if slot.drained || !slot.reachable || self.excluded.contains(&position) {
            return;
        }
        let candidate = self.candidate(position, slot, cached_blocks, remote);
        if slot.cold || (self.has_cold_marks && slot.is_cold(self.credits)) {
            let serving = &slot.serving;
            let available = || {
                self.credits
                    .available(self.now, &serving.group, serving.generation)
            };
            // The entry host that forwards to a remote group spends its own credits.
            if remote || available() > 0 {
                candidates.cold.push(candidate);
            } else {
                candidates.lacks_credit = true;
            }
        } else if candidate.load >= candidate.capacity {
            candidates.saturated = true;
        } else if self.now < slot.ejected_until {
            candidates.ejected.push(candidate);
        } else {
            candidates.warm.push(candidate);
        }
    }

    #[inline]
    fn candidate(
        &self,
        position: u16,
        slot: &GroupSlot,
        cached_blocks: u32,
        remote: bool,
    ) -> Candidate {
        let load = slot.load();
        let own_in_flight = slot.own_in_flight();
        // Requests of other hosts are assumed to have as many pending blocks as
        // those of this host.
        let others_pending = load.saturating_sub(own_in_flight) as f32 * self.mean_pending;
        Candidate {
            slot: position,
            load,
            own_in_flight,
            pending_blocks: slot.pending_blocks() as f32 + others_pending,
            capacity: slot.capacity,
            cached_blocks: cached_blocks as f32 * slot.trust,
            blocks: self.blocks,
            slowdown: slot.slowdown,
            remote,
        }
    }
}
