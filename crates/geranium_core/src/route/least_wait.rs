//! Picks the group with the shortest expected wait for a first token.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks the group with the shortest expected wait for a first token.
///
/// The wait counts the blocks of the prompt that the group must still compute
/// and the work that is queued before them, and grows with the first-token time
/// that the group has shown against its peers. Groups that hold more than their
/// part of the requests cost more, so that a popular prefix spreads.
#[derive(Clone, Copy, Debug)]
pub struct LeastWait {
    /// Weight of the blocks that the request adds, which delay others too,
    /// against those that are queued before it.
    pub compute_weight: f32,
    /// Blocks of work that a hop to another failure domain costs.
    pub blocks_per_hop: f32,
    /// Utilization relative to the mean above which a group costs more.
    pub fair_ratio: f32,
    /// Blocks of work that each request above that costs.
    pub blocks_per_excess: f32,
    /// Largest random factor on a wait, so that entry hosts with the same
    /// reports do not all pick the same group.
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
