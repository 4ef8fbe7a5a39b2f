//! Routes of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Part of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route: requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that callers name, without port, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services that get the requests.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that the operator lets a request wait for its answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event, is on time.
    pub objective: Duration,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no account key.
    pub public: bool,
    /// Longest pause between events of an answer that is on time.
    pub max_event_gap: Option<Duration>,
}

impl Route {
    /// Returns the service for a point between 0 and 1 of the split.
    #[must_use]
    pub fn target(&self, point: f64) -> Option<&Arc<str>> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = point * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let weighted = self.targets.iter().rev().find(|t| t.weight > 0);
        weighted.map(|t| &t.service)
    }
}
