//! Messages of watches.

use serde::{Deserialize, Serialize};

use super::{Base64, Int64, KeyValue, ResponseHeader};

/// Body of `/v3/watch`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to open.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// The watch to open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    pub key: Base64,
    /// Key after the last one; empty for a single key.
    #[serde(skip_serializing_if = "Base64::is_empty", alias = "rangeEnd")]
    pub range_end: Base64,
    /// First revision; zero for changes from now on.
    #[serde(skip_serializing_if = "Int64::is_zero", alias = "startRevision")]
    pub start_revision: Int64,
    /// Whether idle watches are told the revision from time to time.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// A value was written.
    #[default]
    Put,
    /// A value was deleted.
    Delete,
}

impl EventType {
    const fn is_put(&self) -> bool {
        matches!(self, Self::Put)
    }
}

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// Kind of the change.
    #[serde(rename = "type", skip_serializing_if = "EventType::is_put")]
    pub kind: EventType,
    /// The value; only key and revision for a deletion.
    pub kv: KeyValue,
}

/// Message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Head of the message.
    pub header: ResponseHeader,
    /// Whether this message only tells that the watch is open.
    pub created: bool,
    /// Whether the service ended the watch.
    pub canceled: bool,
    /// Oldest revision that is left, if the start revision is gone.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub compact_revision: Int64,
    /// Why the service ended the watch.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// The changes in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<WatchEvent>,
}
