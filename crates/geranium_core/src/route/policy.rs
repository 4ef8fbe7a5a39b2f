//! How one of several usable groups is picked.

use rand::Rng;

use super::Candidate;

/// Picks one of several usable groups.
pub trait RoutePolicy {
    /// Returns the position of the candidate to use; `candidates` is not empty.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl Rng) -> usize;
}
