//! Selection among the backend servers that can take a request.

use std::cmp::Reverse;

use rand::Rng;
use rand::seq::IteratorRandom;

use super::candidate::Candidate;
use super::spreading::pick_below_level;
use super::{DispatchCriteria, Placement};
use crate::host::Host;

/// Maximum load above the least loaded backend server at which another one is a candidate.
const CANDIDATE_MARGIN: f64 = 9.0;

/// The outcome of a selection among candidates.
pub(super) struct Selection<'a> {
    pub(super) host: &'a Host,
    /// Number of candidates that could have been selected.
    pub(super) candidates: usize,
    pub(super) placement: Option<Placement>,
}

/// Selects a candidate; `None` if there is none.
///
/// Without a bound, requests are spread over all candidates. With a bound, they are spread
/// over those below it; if there is none, the fullest candidate is selected, where the
/// request delays none that can be in time.
pub(super) fn select<'a>(
    mut candidates: Vec<Candidate<'a>>,
    criteria: &DispatchCriteria<'_>,
    rng: &mut impl Rng,
) -> Option<Selection<'a>> {
    let placement = criteria.in_time_limit.map(|limit| {
        if candidates.iter().any(|c| c.running < limit) {
            candidates.retain(|c| c.running < limit);
            Placement::InTime
        } else {
            Placement::Overflow
        }
    });
    let host = match placement {
        Some(Placement::Overflow) => fullest(&candidates),
        Some(Placement::InTime) | None => spread(&candidates, criteria, rng),
    };
    host.map(|host| Selection {
        host,
        candidates: candidates.len(),
        placement,
    })
}

fn spread<'a>(
    candidates: &[Candidate<'a>],
    criteria: &DispatchCriteria<'_>,
    rng: &mut impl Rng,
) -> Option<&'a Host> {
    let Some(fraction) = criteria.unreported_fraction() else {
        return less_loaded_of_two(candidates, rng);
    };
    let loads: Vec<f64> = candidates.iter().map(|c| c.score).collect();
    pick_below_level(&loads, fraction, rng).map(|i| candidates[i].host)
}

/// Returns the candidate with the most requests; among equals the one with the lowest id, so
/// that all entry hosts agree.
fn fullest<'a>(candidates: &[Candidate<'a>]) -> Option<&'a Host> {
    let by_load = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
        let by_running = a.running.total_cmp(&b.running);
        by_running.then_with(|| Reverse(&a.host.id).cmp(&Reverse(&b.host.id)))
    };
    candidates.iter().max_by(by_load).map(|c| c.host)
}

/// Returns the less loaded of two random backend servers whose load is close to the lowest.
///
/// The loads of other entry hosts are known with a delay, so that all entry hosts would
/// otherwise send to the same least loaded server until they hear of it (M. Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001).
fn less_loaded_of_two<'a>(candidates: &[Candidate<'a>], rng: &mut impl Rng) -> Option<&'a Host> {
    let least = candidates.iter().map(|c| c.score).fold(f64::MAX, f64::min);
    let near = candidates
        .iter()
        .filter(|c| c.score <= least + CANDIDATE_MARGIN);
    let two = near.choose_multiple(rng, 2);
    two.into_iter()
        .min_by(|a, b| a.score.total_cmp(&b.score))
        .map(|c| c.host)
}
