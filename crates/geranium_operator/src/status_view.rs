//! Status types of the operator interface.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geranium_core::engine::EnginePhase;
use geranium_core::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName,
};
use geranium_telemetry::ProcessIdentity;
use serde::{Deserialize, Serialize};

/// Status of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the entry host.
    pub host: HostId,
    /// Failure domain of the entry host.
    pub failure_domain: FailureDomainId,
    /// Address of the operator listener, if known.
    pub operator_address: Option<SocketAddr>,
    /// `alive`, `suspected` or `leaving`.
    pub state: String,
    /// Milliseconds since the last sign of life from the entry host.
    pub heard_ms_ago: u64,
    /// Whether its records equal those of the responding entry host.
    pub same_records: bool,
}

/// Status of the platform's service as seen by one entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Whether the last call got a response.
    pub reachable: bool,
    /// Number of calls since the process started.
    pub calls: u64,
    /// Number of failed calls since the process started.
    pub failures: u64,
}

/// Requested and serving replicas of a model record in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelView {
    /// Name of the model record.
    pub record: RecordName,
    /// Model identifier that callers use in requests.
    pub served_model: ModelId,
    /// Version of the model weights.
    pub version: String,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Number of replicas that the record requests.
    pub wanted: u32,
    /// Number of replicas that accept requests.
    pub serving: u32,
    /// Why replicas are missing and what the system is doing about it.
    pub missing: Option<String>,
}

/// Status of a group member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Host of the member.
    pub host: HostId,
    /// Last reported phase, if any report was received.
    pub phase: Option<EnginePhase>,
    /// Milliseconds since its last report.
    pub heard_ms_ago: Option<u64>,
}

/// Status of a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Identifier of the group.
    pub group: GroupId,
    /// Model record that the group belongs to.
    pub record: RecordName,
    /// Fabric domain that the group runs in.
    pub fabric_domain: FabricDomainId,
    /// Fencing number of the group.
    pub fencing: FencingNumber,
    /// Whether the gate is open, so that the group accepts requests.
    pub open: bool,
    /// Why the gate is closed, if it is.
    pub closed_because: Option<String>,
    /// Members in rank order.
    pub members: Vec<MemberView>,
}

/// Number of accelerators of a failure domain, by use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceleratorView {
    /// Total number of accelerators.
    pub total: u32,
    /// Accelerators of groups that accept requests.
    pub serving: u32,
    /// Number of all other accelerators, by the reason why they don't serve.
    pub stranded: BTreeMap<String, u32>,
}

/// Status of a failure domain as seen by one of its entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// Process that sent the response.
    pub process: ProcessIdentity,
    /// Whether the responding process is the leader of its failure domain.
    pub leading: bool,
    /// Whether the responding process accepts requests.
    pub ready: bool,
    /// Number of records in force.
    pub records: usize,
    /// Status of the platform's service.
    pub store: StoreView,
    /// Known entry hosts.
    pub hosts: Vec<HostView>,
    /// Requested and serving replicas of each model record.
    pub models: Vec<ModelView>,
    /// Groups of the failure domain.
    pub groups: Vec<GroupView>,
    /// Accelerators of the failure domain.
    pub accelerators: AcceleratorView,
    /// Problems that the system cannot resolve without operator intervention.
    pub needs_person: Vec<String>,
}

/// Explains the current state of a request, group, host or record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Current state and its causes, one line each.
    pub lines: Vec<String>,
    /// Events or actions that would change the state, one line each.
    pub would_change: Vec<String>,
}
