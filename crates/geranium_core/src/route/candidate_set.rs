//! Candidates of one routing decision.

use rand::Rng;

use super::{Candidate, RoutePolicy, RouteRefusal};
use crate::id::ModelId;

/// Candidates of one routing decision, and the reasons why groups were excluded.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateSet {
    /// Warm groups with free capacity.
    pub(super) warm: Vec<Candidate>,
    /// Cold groups for which a credit is available, and cold groups in other
    /// failure domains.
    pub(super) cold: Vec<Candidate>,
    /// Groups that are ejected after failures.
    pub(super) ejected: Vec<Candidate>,
    /// Whether a group was excluded because it is at its capacity.
    pub(super) saturated: bool,
    /// Whether a cold group was excluded because no credit is available for it.
    pub(super) lacks_credit: bool,
}

impl CandidateSet {
    /// Clears the candidates without releasing their memory.
    pub(super) fn clear(&mut self) {
        self.warm.clear();
        self.cold.clear();
        self.ejected.clear();
        self.saturated = false;
        self.lacks_credit = false;
    }

    /// Picks a candidate. While there are warm candidates, the least loaded local
    /// cold one gets `warmup_share` of the requests.
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
        // An ejected group is used rather than refusing the request, unless other
        // groups are saturated: their overflow must not go to ejected groups.
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
