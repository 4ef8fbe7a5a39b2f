//! Demand of the records in force in one failure domain.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{FailureDomainId, HostId, RecordName};
use crate::record::{DrainTarget, ModelSpec};

/// Drain targets that affect one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    /// Whether the whole failure domain is drained.
    pub domain_drained: bool,
    /// Hosts that are drained.
    pub hosts: BTreeSet<HostId>,
}

impl Drains {
    /// Collects the drained hosts and whether the failure domain is drained.
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

/// Desired replicas of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DesiredReplicas {
    /// The record.
    pub spec: ModelSpec,
    /// Desired number of replica groups in the failure domain.
    pub replicas: usize,
}

/// Desired replicas in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    by_record: BTreeMap<RecordName, DesiredReplicas>,
}

impl Demand {
    /// Derives the demand of a failure domain from the records.
    #[must_use]
    pub fn new(failure_domain: &FailureDomainId, models: &[ModelSpec]) -> Self {
        let by_record = models
            .iter()
            .map(|spec| (spec.name.clone(), desired_replicas(failure_domain, spec)))
            .collect();
        Self { by_record }
    }

    /// Returns the desired replicas of a record.
    #[must_use]
    pub fn get(&self, record: &RecordName) -> Option<&DesiredReplicas> {
        self.by_record.get(record)
    }

    /// Iterates over the records in the order of their names.
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
