//! JSON messages of etcd's gateway.
//!
//! The gateway writes 64-bit integers as strings, bytes in base64, and leaves
//! out fields that hold their default value. Only the fields that this project
//! uses are listed; unknown ones are ignored.

mod kv;
mod lease;
mod scalar;
mod status;
mod watch;

pub use kv::{
    Compare, KeyValue, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseHeader, ResponseOp, TxnRequest, TxnResponse, prefix_end,
};
pub use lease::Lease;
pub use scalar::{Base64, Int64};
pub use status::{
    CODE_NOT_FOUND, CODE_OUT_OF_RANGE, CODE_RESOURCE_EXHAUSTED, CODE_UNAVAILABLE, Status,
    StreamMessage,
};
pub use watch::{EventType, WatchCreateRequest, WatchEvent, WatchRequest, WatchResponse};
