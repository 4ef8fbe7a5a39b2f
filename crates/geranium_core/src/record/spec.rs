//! Records in normal form, independent of their schema version.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, FailureDomainId, HostId, ModelId, RecordName};

/// How many replicas of a model a failure domain serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Number of replica groups; zero keeps the record but serves nothing.
    pub replicas: u32,
}

/// A client account's share of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Client account.
    pub account: AccountId,
    /// Relative share when requests compete; at least 1.
    pub weight: u32,
}

/// Which model, version and adapters serve which client accounts, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name of the record.
    pub name: RecordName,
    /// Model as callers name it; several records may serve one model.
    pub served_model: ModelId,
    /// Name of the weights.
    pub weights: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters, sorted.
    pub adapters: Vec<String>,
    /// Hosts of one replica group.
    pub hosts_per_replica: u32,
    /// Failure domains with their number of replicas.
    pub placements: Vec<Placement>,
    /// Client accounts that may use the model.
    pub accounts: Vec<AccountShare>,
    /// Requests that one cold group bears at a time.
    pub cold_concurrency: u32,
    /// Requests that one warm group bears at a time.
    pub warm_concurrency: u32,
}

impl ModelSpec {
    /// Returns the replicas that the record asks for in a failure domain.
    #[must_use]
    pub fn replicas_in(&self, failure_domain: &FailureDomainId) -> u32 {
        let placements = self.placements.iter();
        placements
            .filter(|placement| placement.failure_domain == *failure_domain)
            .map(|placement| placement.replicas)
            .sum()
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpec {
    /// Name of the account.
    pub account: AccountId,
    /// SHA-256 of each valid key, in lower-case hexadecimal.
    pub key_sha256: Vec<String>,
    /// Requests that may be in progress at once over one entry host.
    pub max_concurrent: u32,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// HTTP method.
    pub method: String,
    /// Path below the service; a trailing `*` matches any rest.
    pub path: String,
    /// Whether a call may be repeated without harm.
    pub idempotent: bool,
}

/// Where a plain service listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEndpoint {
    /// Host that the service runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Address of the service.
    pub address: SocketAddr,
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service, the first part of its path.
    pub name: RecordName,
    /// Where it listens.
    pub endpoints: Vec<ServiceEndpoint>,
    /// Routes that callers may use; all others are refused.
    pub routes: Vec<ServiceRoute>,
    /// Client accounts that may use the service.
    pub accounts: Vec<AccountId>,
}

/// What is taken out of service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// A whole failure domain.
    FailureDomain(FailureDomainId),
    /// One backend server host.
    Host(HostId),
}

/// Takes a failure domain or a host out of service while the record exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSpec {
    /// Name of the record.
    pub name: RecordName,
    /// What is taken out.
    pub target: DrainTarget,
    /// Why, for people.
    pub reason: String,
}

/// A record of any kind in normal form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordSpec {
    /// A client account.
    Account(AccountSpec),
    /// A failure domain or host out of service.
    Drain(DrainSpec),
    /// A model.
    Model(ModelSpec),
    /// A plain service.
    Service(ServiceSpec),
}
