//! The ways that are compared.

use geranium_core::once::BatchConfig;

/// Transactions a second that one entry host may send: eight hosts together stay
/// at four fifths of a platform that takes 400.
pub const HOST_TRANSACTIONS_PER_SECOND: f64 = 40.0;

/// Time between two transactions of [`Strategy::FixedWindow`], in microseconds.
pub const WINDOW_MICROS: u64 = 25_000;

/// How claim writes reach the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each write is a transaction.
    Unbatched,
    /// Writes are gathered for a fixed time.
    FixedWindow,
    /// A transaction leaves when it is full or when the sender would sit idle.
    FullOrIdle,
}

impl Strategy {
    /// Every strategy.
    pub const ALL: &'static [Self] = &[Self::Unbatched, Self::FixedWindow, Self::FullOrIdle];

    /// Returns the name that is printed.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unbatched => "one write a claim",
            Self::FixedWindow => "window of 25 ms",
            Self::FullOrIdle => "full or sender idle",
        }
    }

    /// Returns the settings of the batcher.
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
