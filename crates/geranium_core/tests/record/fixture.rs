//! Documents and records for the tests.

use geranium_core::id::{Incarnation, RecordName, StoreRevision};
use geranium_core::record::{
    CurrentRecord, Document, RecordKey, RecordKind, RecordSet, StoredRecord, WriterId,
};
use geranium_core::time::Timestamp;
use serde_json::{Value, json};

pub fn model_v1() -> Value {
    json!({
        "schema_version": 1, "kind": "model", "name": "summary", "served_model": "summary",
        "weights": "quill-70b", "version": "3", "adapters": ["tone-es"],
        "hosts_per_replica": 2, "failure_domains": ["lima-1", "lima-2"],
        "replicas_per_domain": 2, "accounts": ["moderators"]
    })
}

pub fn model_v2() -> Value {
    json!({
        "schema_version": 2, "kind": "model", "name": "summary", "served_model": "summary",
        "weights": "quill-70b", "version": "3", "adapters": ["tone-es"],
        "hosts_per_replica": 2,
        "placements": [
            {"failure_domain": "lima-1", "replicas": 2},
            {"failure_domain": "lima-2", "replicas": 2}
        ],
        "accounts": [{"account": "moderators", "weight": 1}],
        "cold_concurrency": 2, "warm_concurrency": 32
    })
}

pub fn account(name: &str, key_digit: char) -> Value {
    let key = key_digit.to_string().repeat(64);
    json!({
        "schema_version": 1, "kind": "account", "name": name,
        "key_sha256": [key], "max_concurrent": 100, "priority": 5
    })
}

pub fn service() -> Value {
    json!({
        "schema_version": 2, "kind": "service", "name": "sanctions",
        "endpoints": [
            {"host": "app-1", "failure_domain": "lima-1", "address": "127.0.0.1:9000"}
        ],
        "routes": [{"method": "POST", "path": "/bans", "idempotent": false}],
        "accounts": ["moderators"]
    })
}

pub fn drain(name: &str, domain: &str) -> Value {
    json!({
        "schema_version": 2, "kind": "drain", "name": name,
        "target": {"failure_domain": domain}, "reason": "power work"
    })
}

pub fn document(value: Value) -> Document {
    Document::from_value(value).expect("valid document")
}

pub fn writer(incarnation: u64, sequence: u64) -> WriterId {
    WriterId {
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

pub fn key(kind: RecordKind, name: &str) -> RecordKey {
    RecordKey::new(kind, RecordName::new(name))
}

/// Returns the version that follows `previous`, written by `by` at `millis`.
pub fn following(
    previous: Option<&StoredRecord>,
    value: Value,
    by: WriterId,
    millis: u64,
) -> StoredRecord {
    let document = document(value);
    let now = Timestamp::from_millis(millis);
    let (key, value) = (document.key().clone(), document.value().clone());
    StoredRecord::following(previous, key, Some(value), "ana", by, now)
}

pub fn set_of(values: impl IntoIterator<Item = Value>) -> RecordSet {
    let numbered = (1..).zip(values);
    numbered
        .map(|(i, value)| following(None, value, writer(1, i), 1))
        .collect()
}

pub fn current(stored: &StoredRecord, revision: u64) -> CurrentRecord {
    CurrentRecord {
        stored: Some(stored.clone()),
        revision: StoreRevision(revision),
    }
}
