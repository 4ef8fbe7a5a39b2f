//! What entry hosts tell each other.

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
    /// Run of the process; a later run has a greater number.
    pub incarnation: Incarnation,
    /// Address for RPC between entry hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the host has begun to leave: it takes no duties any more.
    pub leaving: bool,
}

/// Which configuration a host has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Digest of every record version held.
    pub digest: ConfigDigest,
    /// Number of records held, deleted ones included.
    pub records: u32,
    /// Time since the records were known to be those of the platform's store.
    pub store_age: Option<Duration>,
}

/// An entry host as its failure domain sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identity and addresses.
    pub info: MemberInfo,
    /// Configuration that it has in force.
    pub digest: ConfigDigest,
}

/// A serving group as other failure domains see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSummary {
    /// The group.
    pub group: GroupId,
    /// Record that asks for it.
    pub record: RecordName,
    /// Model as callers name it.
    pub served_model: ModelId,
    /// Coldest temperature that a member reports.
    pub temperature: Temperature,
    /// Requests that the group can still take, rounded to keep summaries stable.
    pub free_slots: u32,
}

/// A failure domain as its representatives describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSummary {
    /// The failure domain.
    pub failure_domain: FailureDomainId,
    /// Time of the summary at its author; a later one replaces it.
    pub made_at: Timestamp,
    /// Its live entry hosts, representatives first.
    pub members: Vec<MemberStatus>,
    /// Its groups whose gate is open.
    pub groups: Vec<GroupSummary>,
}

/// A report that an observer passes on.
///
/// While `silent` is unset, each later heartbeat of the observer vouches that the
/// engine still answers, though an unchanged report is not sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedReport {
    /// The last report of the engine.
    pub report: EngineReport,
    /// Whether the observer no longer hears the engine.
    pub silent: bool,
}

/// Changes of what a host shares, between two numbers of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDelta {
    /// The receiver must have everything up to this number.
    pub after: u64,
    /// The receiver then has everything up to this number.
    pub through: u64,
    /// Reports of engines that the sender observes.
    pub reports: Vec<SharedReport>,
    /// Summaries of failure domains.
    pub domains: Vec<DomainSummary>,
    /// Requests that crash backend servers.
    pub crashes: CrashDigest,
}

/// Message that two entry hosts exchange: both the call and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub sender: MemberInfo,
    /// Time at the sender.
    pub time: HybridTime,
    /// Time on the sender's own clock, which the receiver echoes.
    pub sent_at: Timestamp,
    /// `sent_at` of the receiver's last message that the sender has taken in.
    pub echo: Timestamp,
    /// Configuration that the sender has in force.
    pub config: ConfigStatus,
    /// Digest of the live hosts of the sender's failure domain.
    pub roster_digest: u64,
    /// Live hosts of the sender's failure domain, if the receiver's list differs.
    pub roster: Vec<MemberInfo>,
    /// Run of the receiver that `echo` and `acked` refer to.
    pub acked_incarnation: Incarnation,
    /// Number up to which the sender has taken in the receiver's log.
    pub acked: u64,
    /// Changes of what the sender shares.
    pub delta: SharedDelta,
}
