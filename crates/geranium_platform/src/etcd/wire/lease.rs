//! Messages of leases.

use serde::{Deserialize, Serialize};

use super::{Int64, ResponseHeader};

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
