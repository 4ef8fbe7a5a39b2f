//! Policy that picks the less loaded of two random groups.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks the less loaded of two random groups ("power of two choices").
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomTwoChoices;

impl RoutePolicy for RandomTwoChoices {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        let a = rng.random_range(0..candidates.len());
        let b = rng.random_range(0..candidates.len());
        if candidates[b].utilization() < candidates[a].utilization() {
            b
        } else {
            a
        }
    }
}
