//! Records in normal form, independent of their schema version.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, FailureDomainId, HostId, ModelId, RecordName};

/// Number of replicas of a model in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Number of replica groups; zero keeps the placement without serving the model.
    pub replicas: u32,
}

/// A client account's share of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Client account.
    pub account: AccountId,
    /// Relative share while requests of several accounts compete; at least 1.
    pub weight: u32,
}

/// A model with its version and adapters, its placement and the client accounts
/// that may use it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name of the record.
    pub name: RecordName,
    /// Model name in requests; several records may serve the same model.
    pub served_model: ModelId,
    /// Name of the weights.
    pub weights: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters, sorted.
    pub adapters: Vec<String>,
    /// Number of hosts in one replica group.
    pub hosts_per_replica: u32,
    /// Number of replicas in each failure domain.
    pub placements: Vec<Placement>,
    /// Client accounts that may use the model.
    pub accounts: Vec<AccountShare>,
    /// Maximum number of concurrent requests in a cold group.
    pub cold_concurrency: u32,
    /// Maximum number of concurrent requests in a warm group.
    pub warm_concurrency: u32,
}

impl ModelSpec {
    /// Returns the number of replicas that the record requests in a failure domain.
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
    /// Maximum number of concurrent requests through one entry host.
    pub max_concurrent: u32,
    /// Priority from 0 (lowest) to 9 (highest).
    pub priority: u8,
}

/// A route of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoute {
    /// HTTP method.
    pub method: String,
    /// Path relative to the service; a trailing `*` matches any suffix.
    pub path: String,
    /// Whether a call can safely be repeated.
    pub idempotent: bool,
}

/// An address on which a service listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEndpoint {
    /// Host on which the service runs.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Address of the service.
    pub address: SocketAddr,
}

/// An HTTP service other than a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service, which is the first segment of its path.
    pub name: RecordName,
    /// Addresses on which the service listens.
    pub endpoints: Vec<ServiceEndpoint>,
    /// Routes that callers may use; requests for other routes are refused.
    pub routes: Vec<ServiceRoute>,
    /// Client accounts that may use the service.
    pub accounts: Vec<AccountId>,
}

/// Target of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// A whole failure domain.
    FailureDomain(FailureDomainId),
    /// A host of a backend server.
    Host(HostId),
}

/// Takes a failure domain or a host out of service while the record exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSpec {
    /// Name of the record.
    pub name: RecordName,
    /// Failure domain or host that is taken out of service.
    pub target: DrainTarget,
    /// Reason, as information for operators.
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
    /// An HTTP service other than a model engine.
    Service(ServiceSpec),
}
