//! Tests of the checks of a change against the other records.

use geranium_core::id::FailureDomainId;
use geranium_core::record::{
    Finding, KnownTopology, RecordKind, RecordSet, Severity, check_change,
};
use serde_json::{Value, json};

use crate::fixture::{account, document, drain, key, model_v2, service, set_of};

fn check(set: &RecordSet, value: Value) -> Vec<(Severity, String)> {
    let document = document(value);
    let topology = KnownTopology {
        failure_domains: ["lima-1", "lima-2"].map(FailureDomainId::new).into(),
        ..KnownTopology::default()
    };
    let findings = check_change(set, document.key(), Some(document.spec()), &topology);
    summary(findings)
}

fn summary(findings: Vec<Finding>) -> Vec<(Severity, String)> {
    let pair = |f: Finding| (f.severity, f.violation.field);
    findings.into_iter().map(pair).collect()
}

#[test]
fn an_unknown_account_is_an_error_that_lists_the_known_ones() {
    let set = set_of([account("desk", 'a')]);
    let model = document(model_v2());

    let topology = KnownTopology::default();
    let findings = check_change(&set, model.key(), Some(model.spec()), &topology);

    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["error: field \"accounts[0]\" is \"moderators\"; \
         valid: a client account with a record: desk"]
    );
    assert_eq!(
        check(&set, service()),
        [(Severity::Error, "accounts[0]".to_owned())]
    );
}

#[test]
fn an_account_in_use_cannot_be_deleted() {
    let set = set_of([account("moderators", 'a'), model_v2()]);
    let moderators = key(RecordKind::Account, "moderators");

    let findings = check_change(&set, &moderators, None, &KnownTopology::default());

    assert_eq!(summary(findings), [(Severity::Error, "name".to_owned())]);
}

#[test]
fn a_key_of_another_account_is_an_error() {
    let set = set_of([account("moderators", 'a')]);

    assert_eq!(
        check(&set, account("desk", 'a')),
        [(Severity::Error, "key_sha256[0]".to_owned())]
    );
    assert!(check(&set, account("moderators", 'a')).is_empty());
}

#[test]
fn a_drain_warns_of_an_unknown_domain_and_of_models_left_without_one() {
    let mut model = model_v2();
    model["placements"][1]["replicas"] = json!(0);
    let set = set_of([account("moderators", 'a'), model]);

    let field = "target.failure_domain".to_owned();
    assert_eq!(
        check(&set, drain("out", "lima-9")),
        [(Severity::Warning, field.clone())]
    );
    assert_eq!(
        check(&set, drain("out", "lima-1")),
        [(Severity::Warning, field)]
    );
    assert!(check(&set, drain("out", "lima-2")).is_empty());
}

#[test]
fn a_second_record_for_one_served_model_is_a_warning() {
    let set = set_of([account("moderators", 'a'), model_v2()]);
    let mut second = model_v2();
    second["name"] = json!("summary-next");
    second["version"] = json!("4");

    assert_eq!(
        check(&set, second),
        [(Severity::Warning, "served_model".to_owned())]
    );
}
