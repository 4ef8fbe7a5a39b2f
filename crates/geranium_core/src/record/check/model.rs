//! Checks models against the other records.

use super::{Findings, KnownTopology, check_account_exists, list_names};
use crate::id::FailureDomainId;
use crate::record::{ModelSpec, RecordSet};

pub(super) fn check(
    set: &RecordSet,
    spec: &ModelSpec,
    topology: &KnownTopology,
    findings: &mut Findings,
) {
    check_accounts(set, spec, findings);
    check_placements(set, spec, topology, findings);
    check_overlapping_records(set, spec, findings);
}

fn check_accounts(set: &RecordSet, spec: &ModelSpec, findings: &mut Findings) {
    if spec.accounts.is_empty() {
        findings.warning(
            "accounts",
            "",
            "at least one client account that may use the model",
        );
    }
    for (i, share) in spec.accounts.iter().enumerate() {
        check_account_exists(set, format!("accounts[{i}]"), &share.account, findings);
    }
}

fn check_placements(
    set: &RecordSet,
    spec: &ModelSpec,
    topology: &KnownTopology,
    findings: &mut Findings,
) {
    let drained = set.drained().failure_domains;
    for (i, placement) in spec.placements.iter().enumerate() {
        let id = &placement.failure_domain;
        let field = format!("placements[{i}].failure_domain");
        if !topology.may_have_domain(id) {
            let names = topology.failure_domains.iter().map(FailureDomainId::as_str);
            let valid = format!("a known failure domain: {}", list_names(names));
            findings.warning(&field, id, valid);
        }
        if drained.contains(id) {
            findings.warning(&field, id, "a failure domain that is not drained");
        }
    }
    if spec.placements.iter().all(|p| p.replicas == 0) {
        findings.warning(
            "placements",
            "",
            "at least one replica; without one the model is not served",
        );
    }
}

/// Warns about other records with the same served model that share an account.
fn check_overlapping_records(set: &RecordSet, spec: &ModelSpec, findings: &mut Findings) {
    let others = set
        .models_serving(&spec.served_model)
        .filter(|other| other.name != spec.name);
    for other in others {
        let is_shared = |name| other.accounts.iter().any(|share| share.account == name);
        if spec.accounts.iter().any(|a| is_shared(a.account.clone())) {
            let valid = format!(
                "a model that no other record serves to the same account; \
                 requests may also go to record {}, version {}",
                other.name, other.version
            );
            findings.warning("served_model", &spec.served_model, valid);
        }
    }
}
