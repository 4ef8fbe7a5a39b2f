//! The hosts and records of a rig.

use geranium_core::engine::{HostEntry, HostState};
use geranium_core::group::GroupConfig;
use geranium_core::id::{FabricDomainId, FailureDomainId, HostId, ModelId, RecordName};
use geranium_core::record::{ModelSpec, Placement};
use std::time::Duration;

/// Accelerators of each host.
pub const ACCELERATORS_PER_HOST: u32 = 8;

/// Hosts of each replica group.
pub const HOSTS_PER_REPLICA: u32 = 3;

/// Replica groups that the record asks for.
pub const REPLICAS: u32 = 2;

/// The hosts of a rig: fabric domains with their number of hosts.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Fabric domains.
    pub fabrics: Vec<(&'static str, usize)>,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
    /// Number of entry hosts.
    pub entry_hosts: usize,
}

impl Fleet {
    /// Two fabric domains of 5 and 6 hosts and three entry hosts.
    #[must_use]
    pub fn standard(checks_fencing: bool) -> Self {
        Self {
            fabrics: vec![("fabric-a", 5), ("fabric-b", 6)],
            checks_fencing,
            entry_hosts: 3,
        }
    }

    /// Returns the failure domain of the rig.
    #[must_use]
    pub fn failure_domain() -> FailureDomainId {
        FailureDomainId::new("lima-1")
    }

    /// Returns the platform's list of hosts.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostEntry> {
        let mut hosts = Vec::new();
        for (fabric, count) in &self.fabrics {
            for n in 0..*count {
                hosts.push(self.host(fabric, n, hosts.len()));
            }
        }
        hosts
    }

    /// Returns the record of the rig at a version.
    #[must_use]
    pub fn record(version: &str, replicas: u32) -> ModelSpec {
        ModelSpec {
            name: RecordName::new("summaries"),
            served_model: ModelId::new("summary"),
            weights: "llm".to_owned(),
            version: version.to_owned(),
            adapters: Vec::new(),
            hosts_per_replica: HOSTS_PER_REPLICA,
            placements: vec![Placement {
                failure_domain: Self::failure_domain(),
                replicas,
            }],
            accounts: Vec::new(),
            cold_concurrency: 1,
            warm_concurrency: 8,
        }
    }

    /// Returns time limits that let a run end in about a minute of its own time.
    #[must_use]
    pub fn config() -> GroupConfig {
        GroupConfig {
            unfenced_cooldown: Duration::from_secs(4),
            straggler_limit: Duration::from_secs(8),
            ..GroupConfig::default()
        }
    }

    fn host(&self, fabric: &str, n: usize, position: usize) -> HostEntry {
        HostEntry {
            host: HostId::new(format!("{fabric}-h{n}")),
            failure_domain: Self::failure_domain(),
            fabric_domain: FabricDomainId::new(fabric),
            address: std::net::SocketAddr::from(([10, 0, 0, 1], 9_000 + port(position))),
            accelerators: ACCELERATORS_PER_HOST,
            checks_fencing: self.checks_fencing,
            state: HostState::Live,
        }
    }
}

fn port(position: usize) -> u16 {
    u16::try_from(position).expect("a rig has few hosts")
}
