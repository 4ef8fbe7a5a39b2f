//! Heartbeat messages between entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::engine::EngineReport;
use crate::group::Temperature;
use crate::id::{FailureDomainId, GroupId, HostId, Incarnation, ModelId, RecordName};
use crate::limit::CrashDigest;
use crate::record::ConfigDigest;
use crate::time::{HybridTime, Timestamp};

/// Identity and addresses of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberInfo {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Incarnation of the process; it increases with each start.
    pub incarnation: Incarnation,
    /// Address for RPC between entry hosts.
    pub peer_address: SocketAddr,
    /// Address for requests from callers.
    pub caller_address: SocketAddr,
    /// Whether the host is shutting down and no longer takes duties.
    pub leaving: bool,
}

/// The configuration that a host has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Digest over the versions of all records held.
    pub digest: ConfigDigest,
    /// Number of records held, including tombstones.
    pub records: u32,
    /// Time since the records were last known to match the platform's store.
    pub store_age: Option<Duration>,
}

/// An entry host as reported by its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identity and addresses.
    pub info: MemberInfo,
    /// Digest of the configuration that it has in force.
    pub digest: ConfigDigest,
}

/// A serving group as reported to other failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSummary {
    /// The group.
    pub group: GroupId,
    /// Record that defines it.
    pub record: RecordName,
    /// Model name that callers use.
    pub served_model: ModelId,
    /// Coldest temperature reported by any member of the group.
    pub temperature: Temperature,
    /// Further requests that the group can accept, rounded so that small changes do
    /// not alter the summary.
    pub free_slots: u32,
}

/// A failure domain as described by its representatives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSummary {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Time on its author's clock; a later summary replaces this one.
    pub made_at: Timestamp,
    /// Its live entry hosts, representatives first.
    pub members: Vec<MemberStatus>,
    /// Its groups with an open gate.
    pub groups: Vec<GroupSummary>,
}

/// A report that an observer shares with its peers.
///
/// While `silent` is unset, each later heartbeat of the observer confirms that the
/// engine still responds. An unchanged report is not sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedReport {
    /// Latest report of the engine.
    pub report: EngineReport,
    /// Whether the engine has stopped responding to the observer.
    pub silent: bool,
}

/// Changes to the items that a host shares, between two sequence numbers of its
/// log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDelta {
    /// The delta applies only if the receiver has every change up to this number.
    pub after: u64,
    /// After applying it, the receiver has every change up to this number.
    pub through: u64,
    /// Reports of engines that the sender observes.
    pub reports: Vec<SharedReport>,
    /// Summaries of failure domains.
    pub domains: Vec<DomainSummary>,
    /// Information about requests that crash backend servers.
    pub crashes: CrashDigest,
}

/// Message that two entry hosts exchange, used for both the call and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub sender: MemberInfo,
    /// Hybrid logical time at the sender.
    pub time: HybridTime,
    /// Send time on the sender's clock, which the receiver echoes.
    pub sent_at: Timestamp,
    /// `sent_at` of the receiver's latest message that the sender has processed.
    pub echo: Timestamp,
    /// Configuration that the sender has in force.
    pub config: ConfigStatus,
    /// Digest of the live hosts of the sender's failure domain.
    pub roster_digest: u64,
    /// Live hosts of the sender's failure domain; empty if the receiver's list is the
    /// same.
    pub roster: Vec<MemberInfo>,
    /// Incarnation of the receiver that `echo` and `acked` refer to.
    pub acked_incarnation: Incarnation,
    /// Sequence number up to which the sender has applied the receiver's log.
    pub acked: u64,
    /// Changes to the items that the sender shares.
    pub delta: SharedDelta,
}
