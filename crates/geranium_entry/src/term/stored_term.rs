//! What the store holds of the last term.

use geranium_core::id::StoreRevision;
use geranium_platform::StoredValue;

use super::TermRecord;

/// What the store holds of the last term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoredTerm {
    /// Revision of the value; zero if there is none.
    pub(crate) revision: StoreRevision,
    /// The record; `None` if there is none or if it is malformed.
    pub(crate) record: Option<TermRecord>,
}

impl StoredTerm {
    /// A store without a record.
    pub(crate) const ABSENT: Self = Self {
        revision: StoreRevision(0),
        record: None,
    };

    /// Returns what a stored value tells.
    pub(crate) fn read(stored: &StoredValue) -> Self {
        Self {
            revision: stored.revision,
            record: TermRecord::parse(&stored.value),
        }
    }
}
