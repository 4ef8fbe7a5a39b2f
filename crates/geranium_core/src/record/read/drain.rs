//! Parsing of drain records.

use serde_json::Value;

use crate::id::RecordName;
use crate::record::fields::Fields;
use crate::record::{DrainSpec, DrainTarget};

/// Maximum length of a reason in bytes.
const MAX_REASON_LEN: usize = 1_024;

/// Reads the fields of a drain record.
pub(in crate::record) fn read_drain(
    fields: &mut Fields<'_>,
    name: RecordName,
) -> Option<DrainSpec> {
    let target = read_target(fields);
    let reason = fields.optional("reason", "text", String::new());
    if reason.as_ref().is_some_and(|r| r.len() > MAX_REASON_LEN) {
        fields.reject("reason", format!("text of at most {MAX_REASON_LEN} bytes"));
    }
    Some(DrainSpec {
        name,
        target: target?,
        reason: reason?,
    })
}

fn read_target(fields: &mut Fields<'_>) -> Option<DrainTarget> {
    let valid = "{\"failure_domain\": NAME} or {\"host\": NAME}";
    let is_object = fields.get("target").is_some_and(Value::is_object);
    if !is_object {
        fields.reject("target", valid);
        return None;
    }
    fields.required("target", valid)
}
