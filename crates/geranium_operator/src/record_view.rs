//! Records as operators see them.

use geranium_core::id::{FailureDomainId, HostId};
use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A record with its generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordView {
    /// Kind of the record.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Number of changes since the record was first written.
    pub generation: u64,
    /// Whether the record is deleted.
    pub deleted: bool,
    /// Operator who wrote it.
    pub operator: String,
    /// When it was written.
    pub written_at: Timestamp,
    /// The record as it was written; null for a deleted one.
    pub document: Value,
}

/// Several records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The records, ordered by kind and name.
    pub records: Vec<RecordView>,
}

/// A change of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The new document; null deletes the record.
    pub document: Value,
    /// Generation that the operator has read; zero if there was no record.
    ///
    /// Absent, the generation that the entry host reads is taken.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_generation: Option<u64>,
    /// Name of the operator.
    pub operator: String,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The change is accepted.
    Accepted,
    /// The record had this content already.
    Unchanged,
    /// Somebody else changed the record first; nothing was written.
    LostRace,
}

/// Who changed a record first, and what differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LostRace {
    /// The change that won.
    pub winner: HistoryEntry,
    /// Fields that differ, from the value that won to the refused one.
    pub differences: Vec<String>,
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// What became of the change.
    pub outcome: ApplyOutcome,
    /// Generation of the record now.
    pub generation: u64,
    /// Fields that changed.
    pub changes: Vec<String>,
    /// What is valid but may not be meant.
    pub warnings: Vec<String>,
    /// Who won, if the race was lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_race: Option<LostRace>,
}

/// Answer to a check of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValidateAnswer {
    /// Faults; the document is valid if there are none.
    pub faults: Vec<String>,
    /// What is valid but may not be meant.
    pub warnings: Vec<String>,
    /// Fields that would change.
    pub changes: Vec<String>,
}

/// Whether one entry host has a record in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// The entry host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether the generation asked for, or a later one, is in force there.
    pub in_force: bool,
    /// Milliseconds since the entry host was last heard of.
    pub heard_ms_ago: u64,
}

/// One change in the history of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the change.
    pub generation: u64,
    /// Operator who asked for it.
    pub operator: String,
    /// When it was written.
    pub written_at: Timestamp,
    /// Whether it deleted the record.
    pub deleted: bool,
}
