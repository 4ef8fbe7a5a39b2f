//! Random faults at random moments, from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::{Scenario, Step};
use crate::Fault;

/// Most faults of one run.
const MAX_FAULTS: usize = 3;

/// Longest time from just before the step to the first fault, in milliseconds,
/// so that all operators are done before the step ends.
const MAX_MOMENT: u64 = 7_000;

/// Interval of the entry hosts' polls, in milliseconds.
const MAX_PHASE: u64 = 250;

impl Scenario {
    /// Makes a scenario with up to three faults from a seed.
    ///
    /// Bounds on times are checked only where all faults leave them in force.
    #[must_use]
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let step = *Step::ALL.choose(&mut rng).unwrap_or(&Step::Repair);
        let count = rng.random_range(1..=MAX_FAULTS);
        let applicable: Vec<Fault> = Fault::ALL
            .iter()
            .copied()
            .filter(|fault| fault.not_applicable(step).is_none())
            .collect();
        let faults = (0..count)
            .filter_map(|_| applicable.choose(&mut rng).copied())
            .collect();
        Self {
            step,
            faults,
            phase: Duration::from_millis(rng.random_range(0..MAX_PHASE)),
            moment: Duration::from_millis(rng.random_range(0..MAX_MOMENT)),
            checks_fencing: rng.random_bool(0.5),
            mutation: None,
        }
    }
}
