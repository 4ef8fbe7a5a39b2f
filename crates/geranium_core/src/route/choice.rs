//! Result of a routing decision.

use std::net::SocketAddr;

use crate::group::Temperature;
use crate::id::{FailureDomainId, FencingNumber, GroupId, HostId};

/// Path of a request to its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutePath {
    /// This entry host sends the request to the engine.
    Direct,
    /// An entry host in the group's failure domain forwards the request.
    Through(HostId),
}

/// The group chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The group.
    pub group: GroupId,
    /// Generation of the group at the time of the choice.
    pub generation: u64,
    /// Fencing number of the group at the time of the choice.
    pub fencing: FencingNumber,
    /// Address of the engine of rank 0.
    pub address: SocketAddr,
    /// Failure domain of the group.
    pub failure_domain: FailureDomainId,
    /// Whether the request needs a cold credit for the group.
    pub temperature: Temperature,
    /// Path of the request to the group.
    pub path: RoutePath,
    /// Estimated number of prompt blocks that the group has cached.
    pub cached_blocks: u32,
    /// Number of blocks in the prompt.
    pub blocks: u32,
}
