//! Settings of the batcher.

/// Settings of the batcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchConfig {
    /// Writes in one transaction.
    pub max_writes: usize,
    /// Bytes of values in one transaction; a single larger write goes alone.
    pub max_bytes: usize,
    /// Writes that may wait for a transaction before new calls are refused.
    pub max_queued: usize,
    /// Transactions that may be on their way at once.
    pub max_in_flight: usize,
    /// Transactions a second, this host's share of the platform's rate.
    pub transactions_per_second: f64,
    /// Transactions that may be sent at once after a quiet time.
    pub burst: f64,
}

impl Default for BatchConfig {
    fn default() -> Self {
        Self {
            max_writes: 64,
            max_bytes: 512 * 1024,
            max_queued: 256,
            max_in_flight: 4,
            transactions_per_second: 25.0,
            burst: 10.0,
        }
    }
}
