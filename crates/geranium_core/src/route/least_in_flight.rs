//! Policy that picks the group with the fewest requests of this entry host.

use rand::Rng;

use super::{Candidate, RoutePolicy};

/// Picks the group with the fewest in-flight requests of this entry host; ties
/// are broken at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl RoutePolicy for LeastInFlight {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize {
        let offset = rng.random_range(0..candidates.len());
        let rotated = (0..candidates.len()).map(|i| (i + offset) % candidates.len());
        rotated
            .min_by_key(|&i| candidates[i].own_in_flight)
            .unwrap_or(0)
    }
}
