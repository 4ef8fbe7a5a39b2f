//! Record types of the operator interface.

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
    /// Generation number, which counts the changes since the record was first written.
    pub generation: u64,
    /// Whether the record is deleted.
    pub deleted: bool,
    /// Operator who wrote this generation.
    pub operator: String,
    /// When this generation was written.
    pub written_at: Timestamp,
    /// Content of the record as it was written; null if the record is deleted.
    pub document: Value,
}

/// A list of records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Records, sorted by kind and name.
    pub records: Vec<RecordView>,
}

/// Request to change a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The new document; null deletes the record.
    pub document: Value,
    /// Generation that the change is based on; zero if the record did not exist.
    ///
    /// If absent, the change is based on the generation that the entry host reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_generation: Option<u64>,
    /// Name of the operator.
    pub operator: String,
}

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyOutcome {
    /// The change was accepted.
    Accepted,
    /// The record already had this content.
    Unchanged,
    /// A concurrent change was written first; nothing was written.
    LostRace,
}

/// A concurrent change that was written first, and how it differs from the rejected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LostRace {
    /// The change that was written.
    pub winner: HistoryEntry,
    /// Fields that differ, each from the written value to the rejected one.
    pub differences: Vec<String>,
}

/// Response to an [`ApplyRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Outcome of the change.
    pub outcome: ApplyOutcome,
    /// Current generation of the record.
    pub generation: u64,
    /// Changed fields.
    pub changes: Vec<String>,
    /// Content that is valid but may be unintended.
    pub warnings: Vec<String>,
    /// The concurrent change, if the outcome is [`ApplyOutcome::LostRace`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_race: Option<LostRace>,
}

/// Response to a request to validate a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValidateAnswer {
    /// Faults in the document, which is valid if there are none.
    pub faults: Vec<String>,
    /// Content that is valid but may be unintended.
    pub warnings: Vec<String>,
    /// Fields that would change.
    pub changes: Vec<String>,
}

/// Whether a generation of a record is in force on one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceView {
    /// Name of the entry host.
    pub host: HostId,
    /// Failure domain of the entry host.
    pub failure_domain: FailureDomainId,
    /// Whether the requested generation, or a later one, is in force.
    pub in_force: bool,
    /// Milliseconds since the entry host was last heard of.
    pub heard_ms_ago: u64,
}

/// One change in the history of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Generation that the change created.
    pub generation: u64,
    /// Operator who requested the change.
    pub operator: String,
    /// When the change was written.
    pub written_at: Timestamp,
    /// Whether the change deleted the record.
    pub deleted: bool,
}
