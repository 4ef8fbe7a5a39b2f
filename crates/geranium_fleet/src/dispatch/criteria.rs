//! What a request needs.

use std::time::Duration;

use super::ColdLimit;
use crate::exchange::{FULL_MESH_LIMIT, REPORT_DELAY};
use crate::host::HostId;

/// Requirements of a request on its backend server.
#[derive(Clone, Copy, Debug)]
pub struct DispatchCriteria<'a> {
    /// Service.
    pub service: &'a str,
    /// Model, for services with model engines.
    pub model: Option<&'a str>,
    /// Backend servers that the request was sent to before.
    pub tried: &'a [HostId],
    /// Limits on the requests per second of this entry host.
    pub cold_limit: Option<ColdLimit>,
    /// Number of entry hosts, which share limits that backend servers name; loads of more than
    /// a full mesh are spread by their unreported part.
    pub entry_hosts: usize,
    /// Number of requests, over all entry hosts, at which a backend server is full.
    pub max_running: f64,
    /// Mean time that a request stays at a backend server, if it is known.
    pub request_time: Option<Duration>,
}

impl DispatchCriteria<'_> {
    /// Returns the number of requests that no report shows yet, relative to those known, if
    /// reports pass through leaders and the mean time of a request is known.
    ///
    /// In a full mesh, reports are recent enough to choose the less loaded of two.
    pub(super) fn unreported_fraction(&self) -> Option<f64> {
        let request_time = self
            .request_time
            .filter(|_| self.entry_hosts > FULL_MESH_LIMIT)?;
        Some(REPORT_DELAY.as_secs_f64() / request_time.max(REPORT_DELAY).as_secs_f64())
    }
}
