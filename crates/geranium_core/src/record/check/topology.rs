//! Known failure domains and hosts.

use std::collections::BTreeSet;

use crate::engine::HostEntry;
use crate::id::{FailureDomainId, HostId};

/// Failure domains and hosts that are known to exist.
///
/// If a set is empty, nothing is known and every name passes the check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownTopology {
    /// Failure domains with an entry host or a backend server host.
    pub failure_domains: BTreeSet<FailureDomainId>,
    /// Backend server hosts.
    pub hosts: BTreeSet<HostId>,
}

impl KnownTopology {
    /// Collects the failure domains and hosts in the platform's host list.
    pub fn from_hosts<'a>(hosts: impl IntoIterator<Item = &'a HostEntry>) -> Self {
        let mut topology = Self::default();
        for entry in hosts {
            topology
                .failure_domains
                .insert(entry.failure_domain.clone());
            topology.hosts.insert(entry.host.clone());
        }
        topology
    }

    /// Returns whether a failure domain is known, or none are known.
    #[must_use]
    pub fn may_have_domain(&self, id: &FailureDomainId) -> bool {
        self.failure_domains.is_empty() || self.failure_domains.contains(id)
    }

    /// Returns whether a host is known, or none are known.
    #[must_use]
    pub fn may_have_host(&self, id: &HostId) -> bool {
        self.hosts.is_empty() || self.hosts.contains(id)
    }
}
