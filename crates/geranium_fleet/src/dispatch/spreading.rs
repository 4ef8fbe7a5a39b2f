//! Spreads requests over backend servers whose loads are known with a delay.

use rand::Rng;

/// Minimum number of unreported requests that is assumed, so that equally loaded backend
/// servers get equal parts also while there is hardly any load.
const MIN_UNREPORTED: f64 = 1.0;

/// Selects a candidate at random so that the loads become even once they are reported.
///
/// All entry hosts see the same loads and send during the same report delay. A server that
/// looks idle would get the requests of all of them until the first report, so each candidate
/// gets only its part of the `unreported` requests: the one that lifts it to a level common to
/// all (water-filling).
///
/// Returns the index of the candidate, or `None` if there is none.
pub(super) fn pick_below_level(
    loads: &[f64],
    unreported: f64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let unreported = unreported.max(MIN_UNREPORTED);
    let level = common_level(loads, unreported);
    let mut point = rng.random::<f64>() * unreported;
    for (i, load) in loads.iter().enumerate() {
        point -= (level - load).max(0.0);
        if point < 0.0 {
            return Some(i);
        }
    }
    // Rounding left a remainder of the last part.
    least_loaded(loads)
}

/// Returns the level up to which `volume` fills the space above the loads.
fn common_level(loads: &[f64], volume: f64) -> f64 {
    let mut ascending = loads.to_vec();
    ascending.sort_by(f64::total_cmp);
    let mut sum = volume;
    let mut level = volume;
    for (i, load) in ascending.iter().enumerate() {
        if i > 0 && *load >= level {
            break;
        }
        sum += load;
        level = sum / (i + 1) as f64;
    }
    level
}

fn least_loaded(loads: &[f64]) -> Option<usize> {
    let indexes = 0..loads.len();
    indexes.min_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}
