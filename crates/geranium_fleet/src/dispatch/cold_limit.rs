//! Limits for backend servers that are or may be cold.

use crate::rate_limiter::limit_per_entry_host;

/// Maximum number of requests that this entry host sends to one backend server per second,
/// so that all entry hosts together stay below what a cold one can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Limit for a backend server that is known to be cold: this entry host's share.
    pub cold: usize,
    /// Limit for any other backend server, as it may have turned cold a moment ago. It is
    /// above the share, as not all entry hosts send that much to the same server.
    pub warm: usize,
    /// Number of entry hosts that may send to a cold backend server at all, if there are
    /// more entry hosts than requests that it can take.
    pub max_senders: Option<usize>,
}

impl ColdLimit {
    /// Number of entry hosts' shares that one entry host may use at a warm backend server.
    const WARM_SHARES: usize = 2;
    /// Minimum limit of an entry host for a warm backend server.
    const MIN_WARM_LIMIT: usize = 3;

    /// Divides a limit by the number of entry hosts.
    #[must_use]
    pub fn new(limit: f64, entry_hosts: usize) -> Self {
        let share = limit_per_entry_host(limit, entry_hosts);
        let cold = share.max(1);
        let warm = limit_per_entry_host(limit * Self::WARM_SHARES as f64, entry_hosts);
        Self {
            cold,
            warm: warm.max(cold).max(Self::MIN_WARM_LIMIT),
            max_senders: (share == 0).then_some(limit as usize),
        }
    }
}
