//! What the records in force ask of one failure domain.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{FailureDomainId, HostId, RecordName};
use crate::record::{DrainTarget, ModelSpec};

/// What is taken out of service, as seen by one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    /// Whether the whole failure domain is out.
    pub domain_drained: bool,
    /// Hosts that are out.
    pub hosts: BTreeSet<HostId>,
}

impl Drains {
    /// Picks the targets that concern a failure domain.
    #[must_use]
    pub fn new(failure_domain: &FailureDomainId, targets: &[DrainTarget]) -> Self {
        let mut drains = Self::default();
        for target in targets {
            match target {
                DrainTarget::FailureDomain(id) => drains.domain_drained |= id == failure_domain,
                DrainTarget::Host(host) => {
                    drains.hosts.insert(host.clone());
                }
            }
        }
        drains
    }
}

/// Replicas wanted of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredReplicas {
    /// The record.
    pub spec: ModelSpec,
    /// Number of replica groups wanted in the failure domain.
    pub replicas: usize,
}

/// Replicas wanted in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    by_record: BTreeMap<RecordName, DesiredReplicas>,
}

impl Demand {
    /// Picks from the records what concerns a failure domain.
    #[must_use]
    pub fn new(failure_domain: &FailureDomainId, models: &[ModelSpec]) -> Self {
        let by_record = models
            .iter()
            .map(|spec| (spec.name.clone(), desired_replicas(failure_domain, spec)))
            .collect();
        Self { by_record }
    }

    /// Returns the replicas wanted of a record.
    #[must_use]
    pub fn get(&self, record: &RecordName) -> Option<&DesiredReplicas> {
        self.by_record.get(record)
    }

    /// Visits the records in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &DesiredReplicas> {
        self.by_record.values()
    }
}

fn desired_replicas(failure_domain: &FailureDomainId, spec: &ModelSpec) -> DesiredReplicas {
    DesiredReplicas {
        spec: spec.clone(),
        replicas: spec.replicas_in(failure_domain) as usize,
    }
}
