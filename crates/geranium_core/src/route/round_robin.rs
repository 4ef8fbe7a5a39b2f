//! Policy that picks groups in turn.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks groups in turn, regardless of their load.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl RoutePolicy for RoundRobin {
    fn pick(&mut self, candidates: &[Candidate], _rng: &mut impl Rng) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn % candidates.len()
    }
}
