//! The state of the system as operators see it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use geranium_core::engine::EnginePhase;
use geranium_core::id::{
    FabricDomainId, FailureDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName,
};
use geranium_telemetry::ProcessIdentity;
use serde::{Deserialize, Serialize};

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostView {
    /// Name of the entry host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Listener for operators, if known.
    pub operator_address: Option<SocketAddr>,
    /// `alive`, `suspected` or `leaving`.
    pub state: String,
    /// Milliseconds since it was last heard of.
    pub heard_ms_ago: u64,
    /// Whether its records equal those of the answering host.
    pub same_records: bool,
}

/// The platform's service as one entry host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// Whether the last call was answered.
    pub reachable: bool,
    /// Calls since the start.
    pub calls: u64,
    /// Failed calls since the start.
    pub failures: u64,
}

/// What a record asks for and what is served, in one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelView {
    /// Name of the record.
    pub record: RecordName,
    /// Model as callers name it.
    pub served_model: ModelId,
    /// Version of the weights.
    pub version: String,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Replicas asked for.
    pub wanted: u32,
    /// Replicas that take requests.
    pub serving: u32,
    /// Why replicas are missing and what is being done about it.
    pub missing: Option<String>,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Host of the member.
    pub host: HostId,
    /// Phase that it last reported, if it was heard of.
    pub phase: Option<EnginePhase>,
    /// Milliseconds since its last report.
    pub heard_ms_ago: Option<u64>,
}

/// A replica group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// Record that asks for it.
    pub record: RecordName,
    /// Fabric domain.
    pub fabric_domain: FabricDomainId,
    /// Fencing number.
    pub fencing: FencingNumber,
    /// Whether the gate is open.
    pub open: bool,
    /// Why the gate is closed.
    pub closed_because: Option<String>,
    /// Members in rank order.
    pub members: Vec<MemberView>,
}

/// Accelerators of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceleratorView {
    /// All accelerators.
    pub total: u32,
    /// Accelerators of groups that take requests.
    pub serving: u32,
    /// All others, by reason.
    pub stranded: BTreeMap<String, u32>,
}

/// State of a failure domain as one of its entry hosts sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The answering process.
    pub process: ProcessIdentity,
    /// Whether the answering process leads its failure domain.
    pub leading: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Records in force.
    pub records: usize,
    /// The platform's service.
    pub store: StoreView,
    /// Known entry hosts.
    pub hosts: Vec<HostView>,
    /// What is asked for and served.
    pub models: Vec<ModelView>,
    /// Groups of the failure domain.
    pub groups: Vec<GroupView>,
    /// Accelerators of the failure domain.
    pub accelerators: AcceleratorView,
    /// What the system cannot mend without a person.
    pub needs_person: Vec<String>,
}

/// Why something is as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Present state and its causes, a line each.
    pub lines: Vec<String>,
    /// What would change it.
    pub would_change: Vec<String>,
}
