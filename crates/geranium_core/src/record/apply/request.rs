//! What an operator asks for and what it is compared with.

use crate::id::StoreRevision;
use crate::record::{Document, Generation, RecordKey, RecordSpec, StoredRecord, WriterId};

/// Which version of the record the operator has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// Any: the change overwrites whatever is there.
    Any,
    /// The version with this generation; zero for a record that never existed.
    Generation(Generation),
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyRequest {
    /// Record to change.
    pub key: RecordKey,
    /// New document, or `None` to delete the record.
    pub document: Option<Document>,
    /// Version that the operator has read.
    pub expected: Expectation,
    /// Name of the operator.
    pub operator: String,
    /// Identifies the write.
    pub writer: WriterId,
}

impl ApplyRequest {
    /// Asks for a document to be written.
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

    /// Asks for a record to be deleted.
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

    /// Returns the new normal form, or `None` for a deletion.
    #[must_use]
    pub fn spec(&self) -> Option<&RecordSpec> {
        self.document.as_ref().map(Document::spec)
    }
}

/// What the platform's store holds for a record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CurrentRecord {
    /// The value, if there is one.
    pub stored: Option<StoredRecord>,
    /// Revision of the value, zero if it is absent.
    pub revision: StoreRevision,
}
