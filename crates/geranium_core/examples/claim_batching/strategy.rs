//! The batching strategies under comparison.

use geranium_core::once::BatchConfig;

/// Rate limit of one entry host, in transactions per second: eight hosts together
/// use four fifths of a platform limit of 400.
pub const HOST_TRANSACTIONS_PER_SECOND: f64 = 40.0;

/// Interval between two transactions of [`Strategy::FixedWindow`], in microseconds.
pub const WINDOW_MICROS: u64 = 25_000;

/// A strategy for batching claim writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each write is sent in a transaction of its own.
    Unbatched,
    /// Writes are collected during a fixed time window.
    FixedWindow,
    /// A transaction is sent when it is full or when no other one is in flight.
    FullOrIdle,
}

impl Strategy {
    /// All strategies.
    pub const ALL: &'static [Self] = &[Self::Unbatched, Self::FixedWindow, Self::FullOrIdle];

    /// Returns the display name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unbatched => "unbatched",
            Self::FixedWindow => "25 ms window",
            Self::FullOrIdle => "full or idle",
        }
    }

    /// Returns the batcher settings for this strategy.
    pub fn batch_config(self) -> BatchConfig {
        let max_writes = if self == Self::Unbatched { 1 } else { 64 };
        BatchConfig {
            max_writes,
            max_in_flight: if self == Self::Unbatched { 64 } else { 4 },
            transactions_per_second: HOST_TRANSACTIONS_PER_SECOND,
            burst: 10.0,
            ..BatchConfig::default()
        }
    }
}
