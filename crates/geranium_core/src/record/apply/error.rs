//! Reasons for which a change is not written.

use quick_error::quick_error;

use crate::record::{FieldChange, Finding, Generation, RecordChange, RecordKey};

quick_error! {
    /// Reason for which a change is not written: the store was not touched.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ApplyError {
        /// Another change came first.
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
        /// The record does not exist, so that the expected version is not there.
        NotFound(key: RecordKey) {
            display("record {} does not exist", key)
        }
        /// The change contradicts other records; warnings are listed too.
        Rejected(key: RecordKey, findings: Vec<Finding>) {
            display("record {} is not valid beside the others: {}", key, join(findings))
        }
    }
}

fn render(differences: &[FieldChange]) -> String {
    if differences.is_empty() {
        return "it holds what was asked for".to_owned();
    }
    let changes = join(differences);
    format!("from it to what was asked for: {changes}")
}

fn join(items: &[impl ToString]) -> String {
    let items: Vec<String> = items.iter().map(ToString::to_string).collect();
    items.join("; ")
}
