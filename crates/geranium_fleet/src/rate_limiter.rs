//! Bounds that all entry hosts keep together without talking.

use std::collections::VecDeque;
use std::time::Duration;

use geranium_core::time::Timestamp;

/// At most a number of events in any window of a length.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::rate_limiter::RateLimiter;
///
/// let mut rate = RateLimiter::new(Duration::from_secs(1));
/// let now = Timestamp::from_millis(5_000);
/// assert!(rate.try_acquire(1, now));
/// assert!(!rate.try_acquire(1, now));
/// assert!(rate.try_acquire(1, now + Duration::from_millis(1_001)));
/// ```
#[derive(Clone, Debug)]
pub struct RateLimiter {
    window: Duration,
    taken: VecDeque<Timestamp>,
}

impl RateLimiter {
    /// Makes a bound for windows of a length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            taken: VecDeque::new(),
        }
    }

    /// Takes one of `most` in the window that ends now, if one is left.
    pub fn try_acquire(&mut self, most: usize, now: Timestamp) -> bool {
        if self.used(now) >= most {
            return false;
        }
        self.taken.push_back(now);
        true
    }

    /// Returns how many were taken in the window that ends now.
    pub fn used(&mut self, now: Timestamp) -> usize {
        while self
            .taken
            .front()
            .is_some_and(|t| now.since(*t) > self.window)
        {
            self.taken.pop_front();
        }
        self.taken.len()
    }
}

/// Returns the part of a bound that one of `entry_hosts` may use by itself.
#[must_use]
pub fn limit_per_entry_host(bound: f64, entry_hosts: usize) -> usize {
    (bound / entry_hosts.max(1) as f64).floor() as usize
}
