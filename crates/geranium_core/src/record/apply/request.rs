//! Change requests of operators and the stored record that they apply to.

use crate::id::StoreRevision;
use crate::record::{Document, Generation, RecordKey, RecordSpec, StoredRecord, WriterId};

/// Version of the record that a change expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// Any version: the change overwrites the current one unconditionally.
    Any,
    /// The version with this generation, or zero for a record that never existed.
    Generation(Generation),
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyRequest {
    /// Record to change.
    pub key: RecordKey,
    /// New document, or `None` to delete the record.
    pub document: Option<Document>,
    /// Version that the operator expects to change.
    pub expected: Expectation,
    /// Name of the operator.
    pub operator: String,
    /// Identifier of the write.
    pub writer: WriterId,
}

impl ApplyRequest {
    /// Creates a request to write a document.
    pub fn put(
        document: Document,
        expected: Expectation,
        operator: impl Into<String>,
        writer: WriterId,
    ) -> Self {
        Self {
            key: document.key().clone(),
            document: Some(document),
            expected,
            operator: operator.into(),
            writer,
        }
    }

    /// Creates a request to delete a record.
    pub fn delete(
        key: RecordKey,
        expected: Expectation,
        operator: impl Into<String>,
        writer: WriterId,
    ) -> Self {
        Self {
            key,
            document: None,
            expected,
            operator: operator.into(),
            writer,
        }
    }

    /// Returns the normal form of the new document, or `None` for a deletion.
    #[must_use]
    pub fn spec(&self) -> Option<&RecordSpec> {
        self.document.as_ref().map(Document::spec)
    }
}

/// A record in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CurrentRecord {
    /// Value in the store, if there is one.
    pub stored: Option<StoredRecord>,
    /// Revision of the value, or zero if there is none.
    pub revision: StoreRevision,
}
