//! Validation of a change against the other records.

mod account;
mod drain;
mod finding;
mod model;
mod service;
mod topology;

pub use finding::{Finding, Severity};
pub use topology::KnownTopology;

use finding::Findings;

use super::{RecordKey, RecordKind, RecordSet, RecordSpec};
use crate::id::AccountId;

/// Maximum number of valid names listed in a finding.
const MAX_LISTED: usize = 10;

/// Checks a change against the other records in force.
///
/// `spec` is the new normal form, or `None` for a deletion. A change must be
/// rejected if any finding has [`Severity::Error`].
#[must_use]
pub fn check_change(
    set: &RecordSet,
    key: &RecordKey,
    spec: Option<&RecordSpec>,
    topology: &KnownTopology,
) -> Vec<Finding> {
    let mut findings = Findings::default();
    match spec {
        Some(RecordSpec::Account(spec)) => account::check(set, spec, &mut findings),
        Some(RecordSpec::Drain(spec)) => drain::check(set, spec, topology, &mut findings),
        Some(RecordSpec::Model(spec)) => model::check(set, spec, topology, &mut findings),
        Some(RecordSpec::Service(spec)) => service::check(set, spec, topology, &mut findings),
        None if key.kind == RecordKind::Account => {
            account::check_deletion(set, &key.name, &mut findings);
        }
        None => {}
    }
    findings.0
}

/// Adds an error for a client account that has no record.
fn check_account_exists(set: &RecordSet, field: String, id: &AccountId, findings: &mut Findings) {
    if set.account(id).is_some() {
        return;
    }
    let names = set.accounts().map(|account| account.account.as_str());
    let valid = format!("a client account with a record: {}", list_names(names));
    findings.error(field, id, valid);
}

/// Joins up to [`MAX_LISTED`] names for a finding.
fn list_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.take(MAX_LISTED + 1).collect();
    if names.is_empty() {
        return "none exist yet".to_owned();
    }
    if names.len() > MAX_LISTED {
        names[MAX_LISTED] = "...";
    }
    names.join(", ")
}
