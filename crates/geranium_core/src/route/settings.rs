//! Settings of the router.

use std::time::Duration;

/// Settings of the router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// Blocks that the prefix index keeps.
    pub index_capacity: usize,
    /// Age of a load report when it arrives.
    pub report_lag: Duration,
    /// Utilization of every local group above which other failure domains are
    /// considered too.
    pub spill_utilization: f32,
    /// Share of requests sent to a cold group with credits while warm ones are free.
    pub warmup_share: f32,
    /// First-token time relative to peers above which a group is a straggler.
    pub straggler_ratio: f32,
    /// First-token time relative to peers, or to the group's past under a usual
    /// load, from which a warm group counts as cold.
    pub cold_ratio: f32,
    /// First tokens in a row that must be so slow.
    pub cold_samples: u32,
    /// Failures in a row after which a group is set aside.
    pub failures_to_eject: u32,
    /// Time for which a group is set aside at first; doubles up to `eject_max`.
    pub eject_base: Duration,
    /// Longest time for which a group is set aside.
    pub eject_max: Duration,
    /// Time after which half of what is known about a first-token time is forgotten.
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
