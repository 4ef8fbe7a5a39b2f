//! Picks the group with the shortest expected wait for a first token.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks the group with the shortest expected wait for a first token.
///
/// The wait counts the blocks of the prompt that the group must still compute
/// and the work that is queued before them, and grows with the first-token time
/// that the group has shown against its peers.
#[derive(Clone, Copy, Debug)]
pub struct LeastWait {
    /// Blocks of work that one request in a group adds to the wait.
    pub blocks_per_request: f32,
    /// Blocks of work that a hop to another failure domain costs.
    pub blocks_per_hop: f32,
    /// Largest random factor on a wait, so that entry hosts with the same
    /// reports do not all pick the same group.
    pub jitter: f32,
}

impl Default for LeastWait {
    fn default() -> Self {
        Self {
            blocks_per_request: 4.0,
            blocks_per_hop: 2.0,
            jitter: 0.1,
        }
    }
}

impl LeastWait {
    fn wait(&self, candidate: &Candidate) -> f32 {
        let compute = candidate.blocks as f32 - candidate.cached_blocks + 1.0;
        let queue = candidate.load as f32 * self.blocks_per_request;
        let hop = if candidate.remote {
            self.blocks_per_hop
        } else {
            0.0
        };
        (compute + queue) * candidate.slowdown + hop
    }
}

impl RoutePolicy for LeastWait {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        let mut best = 0;
        let mut best_wait = f32::INFINITY;
        for (i, candidate) in candidates.iter().enumerate() {
            let factor = 1.0 + self.jitter * rng.random::<f32>();
            let wait = self.wait(candidate) * factor;
            if wait < best_wait {
                best = i;
                best_wait = wait;
            }
        }
        best
    }
}
