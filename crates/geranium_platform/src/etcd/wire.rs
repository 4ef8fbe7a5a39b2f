//! JSON messages of etcd's gateway.
//!
//! The gateway writes 64-bit integers as strings, bytes in base64, and leaves
//! out fields that hold their default value. Only the fields that this project
//! uses are listed; unknown ones are ignored.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl Base64 {
    /// Makes bytes from text.
    #[must_use]
    pub fn from_text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the bytes as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&base64::display::Base64Display::new(&self.0, &STANDARD))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        let bytes = STANDARD
            .decode(text.as_bytes())
            .map_err(de::Error::custom)?;
        Ok(Self(Bytes::from(bytes)))
    }
}

/// A 64-bit integer that travels as a string; a number is understood too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub u64);

impl Int64 {
    /// Returns whether the integer is zero, which the gateway leaves out.
    #[must_use]
    pub const fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl de::Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a non-negative 64-bit integer as string or number")
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }
}

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

/// A write within a transaction.
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

/// Body of the calls for leases, and their answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Head of an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<ResponseHeader>,
    /// Lease; zero asks for a new one.
    #[serde(rename = "ID", skip_serializing_if = "Int64::is_zero")]
    pub id: Int64,
    /// Time to live, in seconds; zero in an answer if the lease does not exist.
    #[serde(rename = "TTL", skip_serializing_if = "Int64::is_zero")]
    pub ttl: Int64,
}

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

/// Wrapper of each message of a streaming call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamMessage<T> {
    /// The message.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// Failure that ended the stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Status>,
}

/// Failure of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// Code of gRPC.
    #[serde(alias = "grpc_code")]
    pub code: u32,
    /// Explanation.
    pub message: String,
}

/// gRPC code for a lease or another thing that does not exist.
pub const CODE_NOT_FOUND: u32 = 5;
/// gRPC code for a call over the rate limit.
pub const CODE_RESOURCE_EXHAUSTED: u32 = 8;
/// gRPC code for a revision that is gone.
pub const CODE_OUT_OF_RANGE: u32 = 11;
/// gRPC code for a service that cannot answer now.
pub const CODE_UNAVAILABLE: u32 = 14;

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
