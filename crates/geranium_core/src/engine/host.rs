//! The platform's list of hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{FabricDomainId, FailureDomainId, HostId};

/// State of a host in the platform's list, which lags behind reality.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host may be used.
    Live,
    /// The host is being taken away and gets no new work.
    Leaving,
}

/// A backend server host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain that the host belongs to.
    pub failure_domain: FailureDomainId,
    /// Fabric domain that the host belongs to.
    pub fabric_domain: FabricDomainId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// State of the host.
    pub state: HostState,
}
