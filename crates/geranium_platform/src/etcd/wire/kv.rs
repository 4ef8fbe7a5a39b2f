//! Messages of reads and writes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Base64, Int64};

/// Head of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub revision: Int64,
}

/// A value with its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    pub key: Base64,
    /// Revision of the last change.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub mod_revision: Int64,
    /// Value.
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    /// Lease that the value ends with.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Body of `/v3/kv/range`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64,
    /// Key after the last one; empty for a single key.
    #[serde(skip_serializing_if = "Base64::is_empty", alias = "rangeEnd")]
    pub range_end: Base64,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Head of the answer.
    pub header: ResponseHeader,
    /// The values, ordered by key.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Number of values in the range.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub count: Int64,
}

/// Condition of a transaction: the last change of a key has a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How to compare; only `EQUAL` is used.
    pub result: String,
    /// What to compare; only `MOD` is used.
    pub target: String,
    /// Key.
    pub key: Base64,
    /// Revision that the last change must have; zero for an absent key.
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
}

/// Body of `/v3/kv/put`, or a write within a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    pub key: Base64,
    /// Value.
    #[serde(skip_serializing_if = "Base64::is_empty")]
    pub value: Base64,
    /// Lease that the value ends with.
    #[serde(skip_serializing_if = "Int64::is_zero")]
    pub lease: Int64,
}

/// Answer of `/v3/kv/put`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// Head of the answer.
    pub header: ResponseHeader,
}

/// A step of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Reads.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Writes.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Deletes.
    #[serde(skip_serializing_if = "Option::is_none", alias = "requestDeleteRange")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Body of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions that must all hold.
    pub compare: Vec<Compare>,
    /// Steps if they hold.
    pub success: Vec<RequestOp>,
    /// Steps if one does not.
    pub failure: Vec<RequestOp>,
}

/// Answer of one step of a transaction; this project reads only ranges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Answer of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Head of the answer.
    pub header: ResponseHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Answers of the steps.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOp>,
}

/// Returns the key after the last one that begins with `prefix`.
///
/// An empty prefix or one of only `0xff` gives the key zero, which stands for
/// the end of all keys.
#[must_use]
pub fn prefix_end(prefix: &[u8]) -> Bytes {
    let Some(last) = prefix.iter().rposition(|&b| b != u8::MAX) else {
        return Bytes::from_static(&[0]);
    };
    let mut end = prefix[..=last].to_vec();
    end[last] += 1;
    Bytes::from(end)
}
