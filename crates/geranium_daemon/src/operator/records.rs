//! Endpoints that read, validate and change records.

use std::sync::Arc;

use geranium_core::record::{
    Document, Finding, KnownTopology, RecordEntry, RecordError, RecordKey, RecordKind, Severity,
    StoredRecord, check_change,
};
use geranium_net::{ApiError, read_body};
use geranium_operator::{
    ApplyRequest, HistoryEntry, InForceView, RecordPage, RecordView, ValidateAnswer,
};
use hyper::StatusCode;
use serde_json::Value;
use viz::{Request, Response, Result};

use super::query::{Query, bad_request, not_found, record_key};
use super::reply::json;
use crate::apply;
use crate::changes::render_diff;
use crate::node::Node;

/// Maximum size of the body of an operator request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Lists the records in force.
pub async fn list(node: Arc<Node>, req: Request) -> Result<Response> {
    let kind: Option<RecordKind> = Query::parse(&req).get("kind")?;
    let view = node.published.view();
    let matching = |entry: &&RecordEntry| kind.is_none_or(|kind| entry.stored.key.kind == kind);
    let records = view
        .records
        .iter()
        .filter(matching)
        .map(|e| record_view(&e.stored))
        .collect();
    Ok(json(&RecordPage { records })?)
}

/// Returns one record in force.
pub async fn get(node: Arc<Node>, req: Request) -> Result<Response> {
    let key = record_key(&req)?;
    let view = node.published.view();
    let entry = view
        .records
        .get(&key)
        .filter(|entry| !entry.stored.is_deleted());
    let entry = entry.ok_or_else(|| not_found(format!("record {key} does not exist")))?;
    Ok(json(&record_view(&entry.stored))?)
}

/// Returns the history of a record, newest change first.
pub async fn history(node: Arc<Node>, req: Request) -> Result<Response> {
    let key = record_key(&req)?;
    let view = node.published.view();
    let entry = view.records.get(&key);
    let entry = entry.ok_or_else(|| not_found(format!("record {key} does not exist")))?;
    let stored = &entry.stored;
    let changes = [&stored.change]
        .into_iter()
        .chain(stored.history.iter().rev());
    let entries: Vec<HistoryEntry> = changes.map(apply::history_entry).collect();
    Ok(json(&entries)?)
}

/// Returns for each known entry host whether a generation of a record is in force there.
pub async fn in_force(node: Arc<Node>, req: Request) -> Result<Response> {
    let key = record_key(&req)?;
    let generation: Option<u64> = Query::parse(&req).get("generation")?;
    let views: Vec<InForceView> = node.in_force(&key, generation.unwrap_or_default()).await;
    Ok(json(&views)?)
}

/// Validates a document against the records in force, without changing anything.
pub async fn validate(node: Arc<Node>, mut req: Request) -> Result<Response> {
    let body = read_body(&mut req, MAX_BODY_BYTES).await?;
    let view = node.published.view();
    let document = match parse_document(&body) {
        Ok(document) => document,
        Err(e) => {
            let faults = faults(&e);
            return Ok(json(&ValidateAnswer {
                faults,
                ..ValidateAnswer::default()
            })?);
        }
    };
    let topology = KnownTopology::from_hosts(view.hosts.iter());
    let findings = check_change(
        &view.records,
        document.key(),
        Some(document.spec()),
        &topology,
    );
    let current = view.records.get(document.key());
    let old = current.and_then(|entry| entry.stored.document.as_ref());
    let changes = render_diff(old, Some(document.value()));
    Ok(json(&ValidateAnswer {
        faults: render_findings(&findings, Severity::Error),
        warnings: render_findings(&findings, Severity::Warning),
        changes,
    })?)
}

/// Changes a record, or deletes it if the request has no document.
pub async fn apply(node: Arc<Node>, mut req: Request) -> Result<Response> {
    let key = record_key(&req)?;
    let body = read_body(&mut req, MAX_BODY_BYTES).await?;
    let req: ApplyRequest = serde_json::from_slice(&body).map_err(|e| {
        bad_request(
            "malformed_body",
            format!("body is not a valid change request: {e}"),
        )
    })?;
    let document = match &req.document {
        Value::Null => None,
        value => Some(document_for(&key, value)?),
    };
    let answer = apply::apply(&node, key, document, &req).await?;
    Ok(json(&answer)?)
}

fn document_for(key: &RecordKey, value: &Value) -> std::result::Result<Document, ApiError> {
    let document = Document::from_value(value.clone()).map_err(|e| invalid_record(&e))?;
    if document.key() == key {
        return Ok(document);
    }
    let named = document.key();
    Err(bad_request(
        "key_mismatch",
        format!("document describes {named}, but the path names {key}"),
    ))
}

fn parse_document(body: &[u8]) -> std::result::Result<Document, RecordError> {
    Document::parse(&String::from_utf8_lossy(body))
}

fn invalid_record(e: &RecordError) -> ApiError {
    ApiError::new(
        StatusCode::UNPROCESSABLE_ENTITY,
        "invalid_record",
        "the record is not valid",
    )
    .with_faults(faults(e))
}

fn faults(e: &RecordError) -> Vec<String> {
    match e {
        RecordError::Invalid(faults) => faults.0.iter().map(ToString::to_string).collect(),
        e => vec![e.to_string()],
    }
}

fn render_findings(findings: &[Finding], severity: Severity) -> Vec<String> {
    let matching = findings
        .iter()
        .filter(|finding| finding.severity == severity);
    matching
        .map(|finding| finding.violation.to_string())
        .collect()
}

fn record_view(stored: &StoredRecord) -> RecordView {
    RecordView {
        kind: stored.key.kind.to_string(),
        name: stored.key.name.to_string(),
        generation: stored.generation().0,
        deleted: stored.is_deleted(),
        operator: stored.change.operator.clone(),
        written_at: stored.written_at(),
        document: stored.document.clone().unwrap_or(Value::Null),
    }
}
