//! Checks drains against the other records.

use super::{Findings, KnownTopology, list_names};
use crate::id::FailureDomainId;
use crate::record::{DrainSpec, DrainTarget, RecordSet};

pub(super) fn check(
    set: &RecordSet,
    spec: &DrainSpec,
    topology: &KnownTopology,
    findings: &mut Findings,
) {
    match &spec.target {
        DrainTarget::FailureDomain(id) => {
            if !topology.may_have_domain(id) {
                let names = topology.failure_domains.iter().map(FailureDomainId::as_str);
                let valid = format!("a known failure domain: {}", list_names(names));
                findings.warning("target.failure_domain", id, valid);
            }
            check_unserved_models(set, id, findings);
        }
        DrainTarget::Host(id) => {
            if !topology.may_have_host(id) {
                findings.warning("target.host", id, "a host in the platform's host list");
            }
        }
    }
    let mut others = set.drains().filter(|drain| drain.name != spec.name);
    if let Some(other) = others.find(|drain| drain.target == spec.target) {
        let valid = format!(
            "one drain per target; the target stays drained until {} is deleted too",
            other.name
        );
        findings.warning("target", &spec.name, valid);
    }
}

/// Warns about models that no failure domain serves once `drained` is drained.
fn check_unserved_models(set: &RecordSet, drained: &FailureDomainId, findings: &mut Findings) {
    let view = set.drained();
    let is_drained = |id: &FailureDomainId| id == drained || view.failure_domains.contains(id);
    for model in set.models() {
        let mut placements = model.placements.iter().filter(|p| p.replicas > 0);
        let was_served = placements.clone().any(|p| p.failure_domain == *drained);
        if was_served && placements.all(|p| is_drained(&p.failure_domain)) {
            let valid = format!(
                "a failure domain that is not the last one to serve model {}",
                model.name
            );
            findings.warning("target.failure_domain", drained, valid);
        }
    }
}
