//! Records as the platform's store holds them.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::{Document, RecordError, RecordKey};
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Most past changes that a stored record lists.
pub const MAX_HISTORY_LEN: usize = 16;

/// Number of a record's change, counted from 1 over deletions too.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the generation of the next change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Generation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one write, so that an ambiguous one can be settled by reading back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WriterId {
    /// Run of the process that wrote.
    pub incarnation: Incarnation,
    /// Number of the write within that run.
    pub sequence: u64,
}

/// One change of a record: who made it and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// Number of the change.
    pub generation: Generation,
    /// Write that made it.
    pub writer: WriterId,
    /// Time of the write at the writer.
    pub written_at: Timestamp,
    /// Operator who asked for it.
    pub operator: String,
    /// Whether it deleted the record.
    pub deleted: bool,
}

/// Orders two versions of one record; the greater one is in force.
///
/// Generations differ unless the store was restored from an older copy and the
/// record was changed anew. Then the later change is the operators' last intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordRank {
    /// Number of the change.
    pub generation: Generation,
    /// Time of the write at the writer.
    pub written_at: Timestamp,
    /// Write that made the change.
    pub writer: WriterId,
}

/// The value that the platform's store holds for a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Kind and name.
    pub key: RecordKey,
    /// The change that led to this version.
    #[serde(flatten)]
    pub change: RecordChange,
    /// Changes before it, oldest first; the last [`MAX_HISTORY_LEN`] only.
    #[serde(default)]
    pub history: Vec<RecordChange>,
    /// The document as the operator wrote it; absent after a deletion.
    #[serde(default)]
    pub document: Option<Value>,
}

impl StoredRecord {
    /// Makes the version that follows `previous`.
    ///
    /// The time of the write always exceeds that of `previous`.
    #[must_use]
    pub fn following(
        previous: Option<&Self>,
        key: RecordKey,
        document: Option<Value>,
        operator: impl Into<String>,
        writer: WriterId,
        now: Timestamp,
    ) -> Self {
        let earliest = previous.map_or(Timestamp::default(), |p| Timestamp(p.written_at().0 + 1));
        let change = RecordChange {
            generation: previous
                .map_or(Generation::default(), Self::generation)
                .next(),
            writer,
            written_at: now.max(earliest),
            operator: operator.into(),
            deleted: document.is_none(),
        };
        Self {
            key,
            change,
            history: previous.map(Self::extended_history).unwrap_or_default(),
            document,
        }
    }

    /// Parses a value of the platform's store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::MalformedValue`] if the value is no stored record
    /// or belongs to another key.
    pub fn from_store(store_key: &str, value: &[u8]) -> Result<Self, RecordError> {
        let malformed = |detail: String| RecordError::MalformedValue(store_key.to_owned(), detail);
        let key = RecordKey::from_store_key(store_key)?;
        let record: Self = serde_json::from_slice(value).map_err(|e| malformed(e.to_string()))?;
        if record.key != key {
            return Err(malformed(format!("it holds record {}", record.key)));
        }
        if record.change.deleted != record.document.is_none() {
            return Err(malformed("deleted and document contradict".to_owned()));
        }
        Ok(record)
    }

    /// Returns the value for the platform's store.
    #[must_use]
    pub fn to_store(&self) -> Vec<u8> {
        // The type holds no map with keys other than text: this cannot fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the number of the change.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.change.generation
    }

    /// Returns the write that made this version.
    #[must_use]
    pub const fn writer(&self) -> WriterId {
        self.change.writer
    }

    /// Returns the time of the write at the writer.
    #[must_use]
    pub const fn written_at(&self) -> Timestamp {
        self.change.written_at
    }

    /// Returns whether this version is a deletion.
    #[must_use]
    pub const fn is_deleted(&self) -> bool {
        self.change.deleted
    }

    /// Returns the place in the order of versions.
    #[must_use]
    pub const fn rank(&self) -> RecordRank {
        RecordRank {
            generation: self.change.generation,
            written_at: self.change.written_at,
            writer: self.change.writer,
        }
    }

    /// Returns whether a write made this version or one that led to it.
    #[must_use]
    pub fn includes_write(&self, writer: WriterId) -> bool {
        self.writer() == writer || self.history.iter().any(|c| c.writer == writer)
    }

    /// Validates the document, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Invalid`] with every violation.
    pub fn parse_document(&self) -> Result<Option<Document>, RecordError> {
        self.document.clone().map(Document::from_value).transpose()
    }

    /// Returns a digest of this version's place in the order.
    pub(super) fn digest(&self) -> u64 {
        let rank = self.rank();
        let mut hasher = Sha256::new();
        hasher.update(self.key.to_string());
        for number in [
            rank.generation.0,
            rank.written_at.0,
            rank.writer.incarnation.0,
            rank.writer.sequence,
        ] {
            hasher.update(number.to_be_bytes());
        }
        let hash = hasher.finalize();
        let head = hash.iter().take(size_of::<u64>());
        head.fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    fn extended_history(&self) -> Vec<RecordChange> {
        let skipped = (self.history.len() + 1).saturating_sub(MAX_HISTORY_LEN);
        let kept = self.history.iter().skip(skipped).cloned();
        kept.chain([self.change.clone()]).collect()
    }
}
