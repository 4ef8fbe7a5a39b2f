//! Limits that all entry hosts keep together without communication.

use std::collections::VecDeque;
use std::time::Duration;

use geranium_core::time::Timestamp;

/// Limits the number of events in any window of a fixed length.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::rate_limiter::RateLimiter;
///
/// let mut limiter = RateLimiter::new(Duration::from_secs(1));
/// let now = Timestamp::from_millis(5_000);
/// assert!(limiter.try_acquire(1, now));
/// assert!(!limiter.try_acquire(1, now));
/// assert!(limiter.try_acquire(1, now + Duration::from_millis(1_001)));
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    window: Duration,
    events: VecDeque<Timestamp>,
}

impl RateLimiter {
    /// Creates a rate limiter for windows of the given length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            events: VecDeque::new(),
        }
    }

    /// Counts an event and returns `true` if the window that ends now holds fewer than
    /// `limit`.
    pub fn try_acquire(&mut self, limit: usize, now: Timestamp) -> bool {
        if self.used(now) >= limit {
            return false;
        }
        self.events.push_back(now);
        true
    }

    /// Returns the number of events in the window that ends now.
    pub fn used(&mut self, now: Timestamp) -> usize {
        while self
            .events
            .front()
            .is_some_and(|t| now.since(*t) > self.window)
        {
            self.events.pop_front();
        }
        self.events.len()
    }
}

/// Returns the share of a limit that one of `entry_hosts` may use.
#[must_use]
pub fn limit_per_entry_host(limit: f64, entry_hosts: usize) -> usize {
    (limit / entry_hosts.max(1) as f64).floor() as usize
}
