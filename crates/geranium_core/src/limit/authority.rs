//! Authority of the single host that grants credits.

use std::time::Duration;

use crate::time::Timestamp;

/// Tracks when a host may grant credits of a failure domain.
///
/// A host that gains the authority waits until every credit of an earlier holder
/// has expired. A holder whose authority expired while its process was paused
/// detects this from the current time before it grants anything.
#[derive(Clone, Copy, Debug)]
pub struct HolderAuthority {
    wait: Duration,
    until: Timestamp,
    ready_at: Timestamp,
}

impl HolderAuthority {
    /// Creates an authority that is not held; `wait` is the time after which every
    /// credit of an earlier holder has expired.
    #[must_use]
    pub const fn new(wait: Duration) -> Self {
        Self {
            wait,
            until: Timestamp(0),
            ready_at: Timestamp(u64::MAX),
        }
    }

    /// Gains or extends the authority until a time on this host's clock.
    ///
    /// Returns whether it was newly gained; the holder then does not know which
    /// credits are outstanding.
    pub fn extend(&mut self, now: Timestamp, until: Timestamp) -> bool {
        let gained = now >= self.until;
        if gained {
            self.ready_at = now + self.wait;
        }
        self.until = self.until.max(until);
        gained
    }

    /// Gives up the authority.
    pub fn resign(&mut self) {
        self.until = Timestamp(0);
    }

    /// Returns whether this host is the holder.
    #[must_use]
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Returns whether the holder may grant new credits.
    #[must_use]
    pub fn may_grant(&self, now: Timestamp) -> bool {
        self.is_held(now) && now >= self.ready_at
    }

    /// Returns the time from which the holder may grant new credits.
    #[must_use]
    pub const fn ready_at(&self) -> Timestamp {
        self.ready_at
    }
}
