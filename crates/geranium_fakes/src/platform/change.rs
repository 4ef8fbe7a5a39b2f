//! Changes of values.

use bytes::Bytes;

/// A change that watches report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Revision of the change.
    pub revision: u64,
    /// Key.
    pub key: Bytes,
    /// New value, or `None` for a deletion.
    pub value: Option<Bytes>,
    /// Lease of the new value.
    pub lease: u64,
}

impl Change {
    /// Returns the number of bytes of the new value.
    pub(super) fn value_len(&self) -> usize {
        self.value.as_ref().map_or(0, Bytes::len)
    }
}
