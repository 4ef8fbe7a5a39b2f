//! The platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{FabricDomainId, FailureDomainId, HostId};

/// State of a host in the platform's host list; it lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is available.
    Live,
    /// The host is being removed and receives no new work.
    Leaving,
}

/// An entry of the platform's host list for a backend server.
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
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// State of the host.
    pub state: HostState,
}
