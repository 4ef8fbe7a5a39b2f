//! Checks services against the other records.

use super::{Findings, KnownTopology, check_account_exists, list_names};
use crate::id::FailureDomainId;
use crate::record::{RecordSet, ServiceEndpoint, ServiceSpec};

pub(super) fn check(
    set: &RecordSet,
    spec: &ServiceSpec,
    topology: &KnownTopology,
    findings: &mut Findings,
) {
    for (i, account) in spec.accounts.iter().enumerate() {
        check_account_exists(set, format!("accounts[{i}]"), account, findings);
    }
    if spec.endpoints.is_empty() {
        findings.warning(
            "endpoints",
            "",
            "at least one endpoint; without one the service is unavailable",
        );
    }
    if spec.routes.is_empty() {
        findings.warning(
            "routes",
            "",
            "at least one route; without one every request is refused",
        );
    }
    for (i, endpoint) in spec.endpoints.iter().enumerate() {
        check_endpoint(set, spec, topology, i, endpoint, findings);
    }
}

fn check_endpoint(
    set: &RecordSet,
    spec: &ServiceSpec,
    topology: &KnownTopology,
    i: usize,
    endpoint: &ServiceEndpoint,
    findings: &mut Findings,
) {
    let id = &endpoint.failure_domain;
    if !topology.may_have_domain(id) {
        let names = topology.failure_domains.iter().map(FailureDomainId::as_str);
        let valid = format!("a known failure domain: {}", list_names(names));
        findings.warning(format!("endpoints[{i}].failure_domain"), id, valid);
    }
    let mut others = set.services().filter(|service| service.name != spec.name);
    let has_address = |e: &ServiceEndpoint| e.address == endpoint.address;
    if let Some(other) = others.find(|s| s.endpoints.iter().any(has_address)) {
        let field = format!("endpoints[{i}].address");
        let valid = format!("a unique address; service {} has the same one", other.name);
        findings.warning(field, endpoint.address, valid);
    }
}
