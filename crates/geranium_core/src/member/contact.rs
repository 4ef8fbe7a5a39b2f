//! Addresses that are to be asked: seeds and other failure domains.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::FailureDomainId;
use crate::time::Timestamp;

/// Longest time between two attempts to reach a seed.
const MAX_SEED_BACKOFF: Duration = Duration::from_secs(30);

/// A peer address from the settings.
#[derive(Clone, Debug)]
pub(super) struct Seed {
    pub(super) address: SocketAddr,
    /// Failure domain of the host that answered there.
    pub(super) domain: Option<FailureDomainId>,
    /// Whether this process itself answered there.
    pub(super) is_self: bool,
    pub(super) due: Timestamp,
    backoff: Duration,
}

impl Seed {
    pub(super) const fn new(address: SocketAddr, now: Timestamp, interval: Duration) -> Self {
        Self {
            address,
            domain: None,
            is_self: false,
            due: now,
            backoff: interval,
        }
    }

    /// Takes note of an attempt; the next one waits twice as long.
    pub(super) fn record_attempt(&mut self, now: Timestamp) {
        self.due = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_SEED_BACKOFF);
    }

    /// Takes note of an answer.
    pub(super) fn record_answer(&mut self, domain: FailureDomainId, interval: Duration) {
        self.domain = Some(domain);
        self.backoff = interval;
    }
}

/// State of the exchange with another failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    pub(super) due: Timestamp,
    /// Address that was asked last and has not answered.
    pub(super) pending: Option<SocketAddr>,
    /// Attempts since the last answer; they take turns over the known hosts.
    pub(super) attempts: usize,
}
