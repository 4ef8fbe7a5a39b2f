//! Tests of documents: parsing, violations and both schema versions.

use geranium_core::record::{Document, RecordError, RecordSpec, diff};
use serde_json::{Value, json};

use crate::fixture::{account, document, drain, model_v1, model_v2, service};

fn invalid_fields(value: Value) -> Vec<String> {
    match Document::from_value(value) {
        Err(RecordError::Invalid(violations)) => {
            violations.0.into_iter().map(|f| f.field).collect()
        }
        other => panic!("expected violations, got {other:?}"),
    }
}

#[test]
fn both_versions_of_a_model_have_one_normal_form() {
    let v1 = document(model_v1());
    let v2 = document(model_v2());

    assert_eq!(v1.spec(), v2.spec());
    assert_ne!(v1.value(), v2.value());
}

#[test]
fn upgrade_gives_the_version_2_document_and_keeps_the_normal_form() {
    let old = document(model_v1());

    let new = old.upgraded().expect("upgradable");

    assert_eq!(new.value(), &model_v2());
    assert_eq!(new.spec(), old.spec());
    assert_eq!(new.upgraded().expect("upgradable"), new);
}

#[test]
fn every_kind_is_valid_in_both_versions() {
    for value in [account("desk", 'a'), drain("out", "lima-1"), service()] {
        for version in [1, 2] {
            let mut value = value.clone();
            value["schema_version"] = json!(version);

            assert!(Document::from_value(value).is_ok());
        }
    }
}

#[test]
fn every_violation_is_reported_with_its_field_value_and_valid_values() {
    let mut value = model_v2();
    value["hosts_per_replica"] = json!(0);
    value["placements"][1]["replicas"] = json!("two");
    value["accounts"][0]["account"] = json!("mod erators");
    value["cold_concurrency"] = json!(64);
    value["replica_count"] = json!(3);

    let Err(RecordError::Invalid(violations)) = Document::from_value(value) else {
        panic!("expected violations");
    };

    let lines: Vec<String> = violations.0.iter().map(ToString::to_string).collect();
    let id = "text of 1 to 128 letters, digits, '-', '_', '.' and ':', without spaces";
    assert_eq!(
        lines[..4],
        [
            "field \"hosts_per_replica\" is 0; valid: a whole number from 1 to 64".to_owned(),
            "field \"placements[1].replicas\" is \"two\"; valid: a whole number from 0 to 1000"
                .to_owned(),
            format!("field \"accounts[0].account\" is \"mod erators\"; valid: {id}"),
            "field \"cold_concurrency\" is 64; valid: at most warm_concurrency, which is 32"
                .to_owned(),
        ]
    );
    assert!(lines[4].starts_with("field \"replica_count\" is 3; valid: no such field"));
    assert_eq!(lines.len(), 5);
}

#[test]
fn fields_of_the_other_schema_version_are_refused() {
    let mut v1 = model_v1();
    v1["placements"] = json!([]);
    let mut v2 = model_v2();
    v2["failure_domains"] = json!(["lima-1"]);

    assert_eq!(invalid_fields(v1), ["placements"]);
    assert_eq!(invalid_fields(v2), ["failure_domains"]);
}

#[test]
fn unknown_versions_and_kinds_are_refused() {
    let mut version = model_v2();
    version["schema_version"] = json!(3);
    let mut kind = model_v2();
    kind["kind"] = json!("adapter");

    assert_eq!(invalid_fields(version), ["schema_version"]);
    assert_eq!(invalid_fields(kind), ["kind"]);
    assert_eq!(invalid_fields(json!([])), ["document"]);
}

#[test]
fn duplicate_elements_are_refused() {
    let mut model = model_v1();
    model["failure_domains"] = json!(["lima-1", "lima-1"]);
    let mut routes = service();
    routes["routes"] = json!([
        {"method": "POST", "path": "/bans", "idempotent": false},
        {"method": "POST", "path": "/bans", "idempotent": true}
    ]);

    assert_eq!(invalid_fields(model), ["failure_domains"]);
    assert_eq!(invalid_fields(routes), ["routes"]);
}

#[test]
fn a_field_given_twice_is_refused() {
    let text = r#"{"schema_version": 2, "kind": "drain", "name": "out",
        "target": {"failure_domain": "lima-1"}, "target": {"failure_domain": "lima-2"}}"#;

    let read = Document::parse(text);

    assert!(matches!(read, Err(RecordError::DuplicateField(name, 2)) if name == "target"));
}

#[test]
fn invalid_routes_endpoints_and_keys_are_refused() {
    let mut bad = service();
    bad["routes"] = json!([{"method": "post", "path": "/a/../b", "idempotent": 1}]);
    bad["endpoints"][0]["address"] = json!("0.0.0.0:80");
    let mut keys = account("desk", 'a');
    keys["key_sha256"] = json!(["A".repeat(64)]);
    keys["priority"] = json!(10);

    assert_eq!(
        invalid_fields(bad),
        [
            "endpoints[0].address",
            "routes[0].method",
            "routes[0].path",
            "routes[0].idempotent"
        ]
    );
    assert_eq!(invalid_fields(keys), ["key_sha256[0]", "priority"]);
}

#[test]
fn invalid_json_reports_line_and_column() {
    let read = Document::parse("{\n  \"kind\": }");

    assert!(matches!(read, Err(RecordError::NotJson(2, 11, _))));
}

#[test]
fn diff_names_each_field_with_both_values() {
    let old = model_v2();
    let mut new = model_v2();
    new["version"] = json!("4");
    new["placements"][1]["replicas"] = json!(0);

    let lines: Vec<String> = diff(Some(&old), Some(&new))
        .iter()
        .map(ToString::to_string)
        .collect();

    assert_eq!(
        lines,
        ["placements[1].replicas: 2 -> 0", "version: \"3\" -> \"4\""]
    );
    assert!(diff(Some(&old), Some(&old)).is_empty());
}

#[test]
fn the_drain_target_is_parsed() {
    let parsed = document(drain("out", "lima-1"));

    let RecordSpec::Drain(drain) = parsed.spec() else {
        panic!("expected a drain");
    };
    assert_eq!(drain.name.as_str(), "out");
    assert_eq!(
        serde_json::to_value(&drain.target).expect("serializable"),
        json!({"failure_domain": "lima-1"})
    );
}
