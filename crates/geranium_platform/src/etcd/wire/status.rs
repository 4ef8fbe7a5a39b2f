//! Failures of calls, and the wrapper of streamed messages.

use serde::{Deserialize, Serialize};

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
