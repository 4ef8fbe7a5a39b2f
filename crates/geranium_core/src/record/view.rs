//! Typed views of a record set.

use std::collections::BTreeSet;

use super::{
    AccountSpec, DrainSpec, DrainTarget, ModelSpec, RecordKey, RecordKind, RecordSet, RecordSpec,
    ServiceSpec,
};
use crate::id::{AccountId, FailureDomainId, HostId, ModelId, RecordName};

/// Failure domains and hosts that are drained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainView {
    /// Failure domains that receive no new work.
    pub failure_domains: BTreeSet<FailureDomainId>,
    /// Backend server hosts that receive no new work.
    pub hosts: BTreeSet<HostId>,
}

impl DrainView {
    /// Returns whether a host is drained, by itself or with its failure domain.
    #[must_use]
    pub fn covers(&self, failure_domain: &FailureDomainId, host: &HostId) -> bool {
        self.failure_domains.contains(failure_domain) || self.hosts.contains(host)
    }
}

impl RecordSet {
    /// Returns the normal forms in force, ordered by key.
    pub fn specs(&self) -> impl Iterator<Item = &RecordSpec> {
        self.iter().filter_map(|entry| entry.spec.as_deref())
    }

    /// Returns the models in force, ordered by record name.
    pub fn models(&self) -> impl Iterator<Item = &ModelSpec> {
        self.specs().filter_map(|spec| match spec {
            RecordSpec::Model(model) => Some(model),
            _ => None,
        })
    }

    /// Returns the model records in force whose served model is `served`.
    pub fn models_serving<'a>(
        &'a self,
        served: &'a ModelId,
    ) -> impl Iterator<Item = &'a ModelSpec> {
        self.models().filter(move |m| m.served_model == *served)
    }

    /// Returns the client accounts in force, ordered by name.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountSpec> {
        self.specs().filter_map(|spec| match spec {
            RecordSpec::Account(account) => Some(account),
            _ => None,
        })
    }

    /// Returns a client account, if its record is in force.
    #[must_use]
    pub fn account(&self, account: &AccountId) -> Option<&AccountSpec> {
        let name = account.as_str().parse().ok()?;
        match self.spec(RecordKind::Account, name)? {
            RecordSpec::Account(account) => Some(account),
            _ => None,
        }
    }

    /// Returns the services in force, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.specs().filter_map(|spec| match spec {
            RecordSpec::Service(service) => Some(service),
            _ => None,
        })
    }

    /// Returns a service, if its record is in force.
    #[must_use]
    pub fn service(&self, name: &RecordName) -> Option<&ServiceSpec> {
        match self.spec(RecordKind::Service, name.clone())? {
            RecordSpec::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the drain records in force, ordered by name.
    pub fn drains(&self) -> impl Iterator<Item = &DrainSpec> {
        self.specs().filter_map(|spec| match spec {
            RecordSpec::Drain(drain) => Some(drain),
            _ => None,
        })
    }

    /// Returns all failure domains and hosts that are drained.
    #[must_use]
    pub fn drained(&self) -> DrainView {
        let mut view = DrainView::default();
        for drain in self.drains() {
            match &drain.target {
                DrainTarget::FailureDomain(id) => view.failure_domains.insert(id.clone()),
                DrainTarget::Host(id) => view.hosts.insert(id.clone()),
            };
        }
        view
    }

    fn spec(&self, kind: RecordKind, name: RecordName) -> Option<&RecordSpec> {
        self.get(&RecordKey::new(kind, name))?.spec.as_deref()
    }
}
