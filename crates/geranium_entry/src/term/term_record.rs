//! Record of a term in the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::stored_record;

/// Name of the value that holds the record of the last term. It has no lease.
pub(crate) const TERM_KEY: &str = "term";

/// Record of a term in the store, which outlives its manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    /// Epoch from which the joins of the manager count.
    pub(crate) first_epoch: u64,
}

impl TermRecord {
    /// Returns the value to store.
    pub(crate) fn to_bytes(self) -> Bytes {
        Bytes::from(serde_json::json!(self).to_string())
    }

    /// Parses a stored record; one that is malformed counts as missing.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        stored_record::parse("record of the manager's term", value)
    }
}
