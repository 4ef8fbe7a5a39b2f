//! Settings of the router.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Capacity of the prefix index, in blocks.
    pub index_capacity: usize,
    /// Assumed age of a load report on arrival.
    pub report_lag: Duration,
    /// Utilization that all warm local groups must exceed before other failure
    /// domains are considered too.
    pub spill_utilization: f32,
    /// Share of requests sent to a local cold group with credits while warm groups
    /// are free.
    pub warmup_share: f32,
    /// Time to first token relative to peers from which a group is a straggler.
    pub straggler_ratio: f32,
    /// Time to first token from which a warm group counts as cold, relative to its
    /// peers or, under a normal load, to its own baseline.
    pub cold_ratio: f32,
    /// Number of consecutive samples at or above `cold_ratio` after which a group
    /// counts as cold.
    pub cold_samples: u32,
    /// Number of consecutive failures after which a group is ejected.
    pub failures_to_eject: u32,
    /// Duration of the first ejection; it doubles with each further one, up to
    /// `eject_max`.
    pub eject_base: Duration,
    /// Maximum duration of an ejection.
    pub eject_max: Duration,
    /// Half-life of a group's slowdown after its last sample.
    pub slowdown_half_life: Duration,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            index_capacity: 131_072,
            report_lag: Duration::from_millis(500),
            spill_utilization: 0.8,
            warmup_share: 0.125,
            straggler_ratio: 2.0,
            cold_ratio: 4.0,
            cold_samples: 3,
            failures_to_eject: 3,
            eject_base: Duration::from_secs(1),
            eject_max: Duration::from_secs(30),
            slowdown_half_life: Duration::from_secs(10),
        }
    }
}
