//! Differences between two documents.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A field that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path of the field, such as `placements[1].replicas`.
    pub field: String,
    /// Value in the old document, if it has the field.
    pub old: Option<Value>,
    /// Value in the new document, if it has the field.
    pub new: Option<Value>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let render = |v: &Option<Value>| v.as_ref().map_or("absent".to_owned(), Value::to_string);
        write!(
            f,
            "{}: {} -> {}",
            self.field,
            render(&self.old),
            render(&self.new)
        )
    }
}

/// Returns every field that differs between two documents, ordered by path.
///
/// # Examples
///
/// ```
/// use geranium_core::record::diff;
/// use serde_json::json;
///
/// let old = json!({"version": "1", "accounts": ["desk"]});
/// let new = json!({"version": "2", "accounts": ["desk", "moderators"]});
/// let changes = diff(Some(&old), Some(&new));
/// let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
/// assert_eq!(lines, [
///     "accounts[1]: absent -> \"moderators\"",
///     "version: \"1\" -> \"2\"",
/// ]);
/// ```
#[must_use]
pub fn diff(old: Option<&Value>, new: Option<&Value>) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    compare(String::new(), old, new, &mut changes);
    changes
}

fn compare(path: String, old: Option<&Value>, new: Option<&Value>, out: &mut Vec<FieldChange>) {
    match (old, new) {
        (old, new) if old == new => {}
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names {
                compare(join(&path, name), old.get(name), new.get(name), out);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            for i in 0..old.len().max(new.len()) {
                compare(format!("{path}[{i}]"), old.get(i), new.get(i), out);
            }
        }
        (old, new) => out.push(FieldChange {
            field: if path.is_empty() {
                "document".to_owned()
            } else {
                path
            },
            old: old.cloned(),
            new: new.cloned(),
        }),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
