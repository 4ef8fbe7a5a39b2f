//! Timestamps and the hybrid logical clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the Unix epoch.
///
/// The driver derives it from a monotonic clock, so that it never decreases within
/// a process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// A hybrid logical timestamp: wall time with a counter that preserves causal order.
///
/// See Kulkarni et al., "Logical Physical Clocks", 2014.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Highest wall time known at the event.
    pub wall: Timestamp,
    /// Orders events that have the same wall time.
    pub counter: u32,
}

/// A hybrid logical clock.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Advances the clock for a local event or an outgoing message.
    pub fn tick(&mut self, now: Timestamp) -> HybridTime {
        self.last = if now > self.last.wall {
            HybridTime {
                wall: now,
                counter: 0,
            }
        } else {
            HybridTime {
                wall: self.last.wall,
                counter: self.last.counter + 1,
            }
        };
        self.last
    }

    /// Merges the timestamp of a received message and advances the clock.
    pub fn observe(&mut self, now: Timestamp, remote: HybridTime) -> HybridTime {
        self.last = self.last.max(remote);
        self.tick(now)
    }
}
