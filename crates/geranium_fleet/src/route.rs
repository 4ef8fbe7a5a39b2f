//! Routes of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

/// Which requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server can continue after the last event.
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

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route: requests for one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host name in requests, without port, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services that get the requests.
    pub targets: Vec<Target>,
    /// Which requests may be repeated.
    pub kind: RouteKind,
    /// Maximum time that a request may wait for its answer.
    pub timeout: Duration,
    /// Target time until the answer or the first event.
    pub objective: Duration,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no account key.
    pub public: bool,
    /// Target for the longest gap between events of an answer.
    pub max_event_gap: Option<Duration>,
}

impl Route {
    /// Returns the target service for a `point` between 0 and 1 of the traffic split.
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
