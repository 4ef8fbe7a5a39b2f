//! Contact state of seed addresses and other failure domains.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::FailureDomainId;
use crate::time::Timestamp;

/// Maximum delay between two attempts to reach a seed.
const MAX_SEED_BACKOFF: Duration = Duration::from_secs(30);

/// A peer address from the settings, used for discovery.
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

    /// Records an attempt and doubles the delay before the next one.
    pub(super) fn record_attempt(&mut self, now: Timestamp) {
        self.due = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_SEED_BACKOFF);
    }

    /// Records an answer and resets the delay.
    pub(super) fn record_answer(&mut self, domain: FailureDomainId, interval: Duration) {
        self.domain = Some(domain);
        self.backoff = interval;
    }
}

/// State of the heartbeat exchange with another failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    pub(super) due: Timestamp,
    /// Address that was contacted last and has not answered yet.
    pub(super) pending: Option<SocketAddr>,
    /// Attempts since the last answer; they rotate through the known hosts.
    pub(super) attempts: usize,
}
