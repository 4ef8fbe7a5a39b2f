//! Settings of the batcher.

/// Settings of the batcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchConfig {
    /// Maximum number of writes in one transaction.
    pub max_writes: usize,
    /// Maximum size of all values in one transaction, in bytes; a single larger
    /// write is sent alone.
    pub max_bytes: usize,
    /// Number of queued writes at which new calls are rejected.
    pub max_queued: usize,
    /// Maximum number of concurrent transactions.
    pub max_in_flight: usize,
    /// This host's share of the platform's rate limit, in transactions per second.
    pub transactions_per_second: f64,
    /// Number of transactions that may be sent at once after an idle period.
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
