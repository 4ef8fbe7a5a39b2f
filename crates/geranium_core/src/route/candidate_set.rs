//! What a pass over the groups of a model found.

use rand::Rng;

use super::{Candidate, RoutePolicy, RouteRefusal};
use crate::id::ModelId;

/// Candidates of one decision, and why other groups are none.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateSet {
    /// Groups that may take the request.
    pub(super) warm: Vec<Candidate>,
    /// Cold groups for which there is a credit.
    pub(super) cold: Vec<Candidate>,
    /// Groups that are set aside after failures.
    pub(super) ejected: Vec<Candidate>,
    /// Whether a group was left out as it has all the requests that it bears.
    pub(super) saturated: bool,
    /// Whether a cold group was left out as there is no credit for it.
    pub(super) lacks_credit: bool,
}

impl CandidateSet {
    /// Empties the lists and keeps their memory.
    pub(super) fn clear(&mut self) {
        self.warm.clear();
        self.cold.clear();
        self.ejected.clear();
        self.saturated = false;
        self.lacks_credit = false;
    }

    /// Picks a candidate; a cold local one gets `warmup_share` of the requests
    /// while there are warm ones.
    pub(super) fn pick(
        &self,
        model: &ModelId,
        policy: &mut impl RoutePolicy,
        warmup_share: f32,
        rng: &mut impl Rng,
    ) -> Result<Candidate, RouteRefusal> {
        let local_cold = self.cold.iter().filter(|c| !c.remote);
        if let Some(cold) = local_cold.min_by_key(|c| c.load)
            && (self.warm.is_empty() || rng.random::<f32>() < warmup_share)
        {
            return Ok(*cold);
        }
        for usable in [&self.warm, &self.cold] {
            if !usable.is_empty() {
                return Ok(pick_from(usable, policy, rng));
            }
        }
        // A group set aside is better than none, but no place for the overflow
        // of healthy ones.
        if !self.ejected.is_empty() && !self.saturated {
            return Ok(pick_from(&self.ejected, policy, rng));
        }
        Err(self.refusal(model))
    }

    fn refusal(&self, model: &ModelId) -> RouteRefusal {
        let model = model.clone();
        if self.saturated {
            RouteRefusal::Saturated(model)
        } else if self.lacks_credit {
            RouteRefusal::NoColdCredit(model)
        } else {
            RouteRefusal::Unavailable(model)
        }
    }
}

fn pick_from(usable: &[Candidate], policy: &mut impl RoutePolicy, rng: &mut impl Rng) -> Candidate {
    let position = policy.pick(usable, rng);
    usable[position.min(usable.len() - 1)]
}
