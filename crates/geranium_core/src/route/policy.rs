//! Routing policies.

use rand::Rng;

use super::Candidate;

/// Strategy that picks one of the usable groups.
pub trait RoutePolicy {
    /// Returns the index of the candidate to use; `candidates` is not empty.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize;
}
