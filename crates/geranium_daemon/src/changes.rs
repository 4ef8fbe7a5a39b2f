//! Renders differences between versions of a record for operators.

use geranium_core::record::{FieldChange, diff};
use serde_json::{Map, Value};

/// Field with the hashes of account keys, which are not shown because they identify the keys.
const KEY_HASH_FIELD: &str = "key_sha256";

/// Path that `diff` reports if a document differs as a whole.
const WHOLE_DOCUMENT_PATH: &str = "document";

/// Renders every field that differs between two documents, one line per field.
///
/// A missing document counts as one without fields, so that each field of a new record is
/// listed. Hashes of account keys are hidden.
#[must_use]
pub fn render_diff(old: Option<&Value>, new: Option<&Value>) -> Vec<String> {
    let empty = Value::Object(Map::new());
    let fields = diff(old.or(Some(&empty)), new.or(Some(&empty)));
    fields.into_iter().flat_map(render_change).collect()
}

/// Renders one change. A change of a whole document is rendered field by field.
#[must_use]
pub fn render_change(mut change: FieldChange) -> Vec<String> {
    let has_fields = |v: &Option<Value>| v.as_ref().is_none_or(Value::is_object);
    if change.field == WHOLE_DOCUMENT_PATH && has_fields(&change.old) && has_fields(&change.new) {
        return render_diff(change.old.as_ref(), change.new.as_ref());
    }
    if change.field.split('[').next() == Some(KEY_HASH_FIELD) {
        let hide = |value: &mut Value| *value = Value::from("(hidden)");
        change.old.iter_mut().for_each(hide);
        change.new.iter_mut().for_each(hide);
    }
    vec![change.to_string()]
}
