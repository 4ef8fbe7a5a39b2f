//! The outcome of a routing decision.

use std::net::SocketAddr;

use crate::group::Temperature;
use crate::id::{FailureDomainId, FencingNumber, GroupId, HostId};

/// How a request reaches its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutePath {
    /// This entry host sends it to the engine.
    Direct,
    /// An entry host of the group's failure domain passes it on.
    Through(HostId),
}

/// The group chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The group.
    pub group: GroupId,
    /// Generation of the group when it was chosen.
    pub generation: u64,
    /// Fencing number of the group when it was chosen.
    pub fencing: FencingNumber,
    /// Address of the engine of rank 0.
    pub address: SocketAddr,
    /// Failure domain of the group.
    pub failure_domain: FailureDomainId,
    /// Whether the request needs a cold credit for the group.
    pub temperature: Temperature,
    /// How the request reaches the group.
    pub path: RoutePath,
    /// Blocks of the prompt that the group is thought to have cached.
    pub cached_blocks: u32,
    /// Blocks of the prompt.
    pub blocks: u32,
}
