//! Policy that picks the group with the shortest expected time to first token.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks the group with the shortest expected time to first token.
///
/// The expected time is the number of prompt blocks that the group must compute
/// plus the blocks queued before them, multiplied by the group's slowdown relative
/// to its peers. A group with more than its fair share of the requests has a
/// penalty, so that a popular prefix is cached by several groups.
#[derive(Clone, Copy, Debug)]
pub struct LeastWait {
    /// Weight of the blocks that the request adds, relative to the blocks queued
    /// before it. Added blocks weigh more because they delay other requests too.
    pub compute_weight: f32,
    /// Cost of a hop to another failure domain, in blocks.
    pub blocks_per_hop: f32,
    /// Utilization relative to the mean above which a group has a penalty.
    pub fair_ratio: f32,
    /// Penalty for each request above `fair_ratio`, in blocks.
    pub blocks_per_excess: f32,
    /// Maximum random increase of an expected time, as a fraction, so that entry
    /// hosts with the same reports do not all pick the same group.
    pub jitter: f32,
}

impl Default for LeastWait {
    fn default() -> Self {
        Self {
            compute_weight: 6.0,
            blocks_per_hop: 2.0,
            fair_ratio: 1.5,
            blocks_per_excess: 4.0,
            jitter: 0.02,
        }
    }
}

impl LeastWait {
    fn expected_wait(&self, candidate: &Candidate, mean: f32) -> f32 {
        let compute = candidate.blocks as f32 - candidate.cached_blocks + 1.0;
        let fair_load = self.fair_ratio * mean * candidate.capacity as f32;
        let excess = (candidate.load as f32 - fair_load).max(0.0);
        let hop = if candidate.remote {
            self.blocks_per_hop
        } else {
            0.0
        };
        let work = compute * self.compute_weight
            + candidate.pending_blocks
            + excess * self.blocks_per_excess;
        work * candidate.slowdown + hop
    }
}

impl RoutePolicy for LeastWait {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        let load: u32 = candidates.iter().map(|c| c.load).sum();
        let capacity: u32 = candidates.iter().map(|c| c.capacity).sum();
        let mean = load as f32 / capacity.max(1) as f32;
        let mut best = 0;
        let mut best_wait = f32::INFINITY;
        for (i, candidate) in candidates.iter().enumerate() {
            let factor = 1.0 + self.jitter * rng.random::<f32>();
            let wait = self.expected_wait(candidate, mean) * factor;
            if wait < best_wait {
                best = i;
                best_wait = wait;
            }
        }
        best
    }
}
