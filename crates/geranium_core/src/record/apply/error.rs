//! Errors of planning a change.

use quick_error::quick_error;

use crate::record::{FieldChange, Finding, Generation, RecordChange, RecordKey};

quick_error! {
    /// Reason why a change is not written. The store has not been modified.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// The record is not at the expected generation, because another change
        /// was written first.
        Conflict(key: RecordKey, expected: Generation, winner: Box<RecordChange>, differences: Vec<FieldChange>) {
            display(
                "record {} is at generation {}, not {}: {} by {:?} at {}; {}",
                key,
                winner.generation,
                expected,
                if winner.deleted { "deleted" } else { "changed" },
                winner.operator,
                winner.written_at,
                render(differences)
            )
        }
        /// The record does not exist, so it can neither be deleted nor have the
        /// expected generation.
        NotFound(key: RecordKey) {
            display("record {} does not exist", key)
        }
        /// The change conflicts with other records; the findings include warnings.
        Rejected(key: RecordKey, findings: Vec<Finding>) {
            display("record {} conflicts with other records: {}", key, join(findings))
        }
    }
}

fn render(differences: &[FieldChange]) -> String {
    if differences.is_empty() {
        return "it is equal to the requested document".to_owned();
    }
    let changes = join(differences);
    format!("differences from it to the requested document: {changes}")
}

fn join(items: &[impl ToString]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join("; ")
}
