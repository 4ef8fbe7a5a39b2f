//! Commands that take a failure domain or a host out of service and bring it back.

use serde_json::json;

use super::apply::write_record;
use super::session::Session;
use crate::ctl_error::CtlError;
use crate::exit::Exit;

/// Kind of the record that represents a drain.
const KIND: &str = "drain";

/// Takes a failure domain or a host out of service.
pub async fn drain(session: &Session<'_>, target_kind: &str, name: &str) -> Result<Exit, CtlError> {
    let target = if target_kind == "domain" {
        "failure_domain"
    } else {
        "host"
    };
    let record = record_name(target_kind, name);
    let document = json!({
        "schema_version": 2,
        "kind": KIND,
        "name": record,
        "target": { target: name },
        "reason": session.invocation.reason,
    });
    write_record(session, KIND, &record, document).await
}

/// Brings a failure domain or a host back into service.
pub async fn undrain(
    session: &Session<'_>,
    target_kind: &str,
    name: &str,
) -> Result<Exit, CtlError> {
    write_record(
        session,
        KIND,
        &record_name(target_kind, name),
        serde_json::Value::Null,
    )
    .await
}

fn record_name(target_kind: &str, name: &str) -> String {
    format!("{target_kind}-{name}")
}
