//! Groups that accept requests.

use std::net::SocketAddr;

use crate::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName,
};

/// Whether a group can take its full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Temperature {
    /// The group is limited to the cold concurrency of its record.
    Cold,
    /// The group is limited to the warm concurrency of its record.
    Warm,
}

/// A group that currently accepts requests, with the data that the router needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingGroup {
    /// The group.
    pub group: GroupId,
    /// Record that requests the group.
    pub record: RecordName,
    /// Name under which callers request the model.
    pub served_model: ModelId,
    /// Failure domain of its hosts.
    pub failure_domain: FailureDomainId,
    /// Fabric domain of its hosts.
    pub fabric_domain: FabricDomainId,
    /// Host of rank 0, which receives the requests.
    pub head: HostId,
    /// Address of the engine of rank 0.
    pub address: SocketAddr,
    /// Fencing number under which the members serve.
    pub fencing: FencingNumber,
    /// Changes whenever a member restarts or is replaced.
    pub generation: u64,
    /// Warm if every member reports that it is warm, otherwise cold.
    pub temperature: Temperature,
    /// Number of running requests, as last reported by the engine of rank 0.
    pub running: u32,
    /// Number of requests queued in the engine of rank 0, as last reported.
    pub waiting: u32,
    /// Number of tokens that fit into the free KV cache, as last reported by the engine of
    /// rank 0.
    pub kv_free_tokens: u64,
    /// Maximum number of concurrent requests while the group is cold.
    pub cold_concurrency: u32,
    /// Maximum number of concurrent requests while the group is warm.
    pub warm_concurrency: u32,
}
