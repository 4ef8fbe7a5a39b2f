//! Groups whose gate is open.

use std::net::SocketAddr;

use crate::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName,
};

/// Whether a group bears its full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Temperature {
    /// The group bears only the cold concurrency of its record.
    Cold,
    /// The group bears the warm concurrency of its record.
    Warm,
}

/// A group that may take requests now, as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingGroup {
    /// The group.
    pub group: GroupId,
    /// Record that asks for it.
    pub record: RecordName,
    /// Model as callers name it.
    pub served_model: ModelId,
    /// Failure domain of its hosts.
    pub failure_domain: FailureDomainId,
    /// Fabric domain of its hosts.
    pub fabric_domain: FabricDomainId,
    /// Host of rank 0, which takes requests.
    pub head: HostId,
    /// Address of the engine of rank 0.
    pub address: SocketAddr,
    /// Fencing number under which the members serve.
    pub fencing: FencingNumber,
    /// Changes whenever a member restarts or is replaced.
    pub generation: u64,
    /// Coldest temperature that a member reports.
    pub temperature: Temperature,
    /// Requests being worked on, as last reported.
    pub running: u32,
    /// Requests waiting in the engine, as last reported.
    pub waiting: u32,
    /// Tokens that fit into the free part of the KV cache, as last reported.
    pub kv_free_tokens: u64,
    /// Requests that the group bears at a time while cold.
    pub cold_concurrency: u32,
    /// Requests that the group bears at a time while warm.
    pub warm_concurrency: u32,
}
