//! Records in the form in which the platform's store holds them.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::{Document, RecordError, RecordKey};
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Maximum number of past changes in the history of a stored record.
pub const MAX_HISTORY_LEN: usize = 16;

/// Number of a change of a record, counted from 1; deletions count too.
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

/// Identifier of a write, so that reading the record back can resolve a write of
/// unknown outcome.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WriterId {
    /// Incarnation of the process that wrote.
    pub incarnation: Incarnation,
    /// Sequence number of the write within that incarnation.
    pub sequence: u64,
}

/// A change of a record: who made it and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordChange {
    /// Number of the change.
    pub generation: Generation,
    /// Write that made the change.
    pub writer: WriterId,
    /// Time of the write, by the writer's clock.
    pub written_at: Timestamp,
    /// Operator who requested the change.
    pub operator: String,
    /// Whether the change deleted the record.
    pub deleted: bool,
}

/// Total order of the versions of a record; the greatest one is in force.
///
/// Two versions have the same generation only if the store was restored from an
/// older copy and the record was changed again. The version with the later write
/// time then wins, because it is the operators' latest intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordRank {
    /// Number of the change.
    pub generation: Generation,
    /// Time of the write, by the writer's clock.
    pub written_at: Timestamp,
    /// Write that made the change.
    pub writer: WriterId,
}

/// The value of a record in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Kind and name.
    pub key: RecordKey,
    /// The change that created this version.
    #[serde(flatten)]
    pub change: RecordChange,
    /// The last [`MAX_HISTORY_LEN`] changes before this version, oldest first.
    #[serde(default)]
    pub history: Vec<RecordChange>,
    /// The document as the operator wrote it; absent after a deletion.
    #[serde(default)]
    pub document: Option<Value>,
}

impl StoredRecord {
    /// Creates the version that follows `previous`.
    ///
    /// Its write time is always later than that of `previous`, even if the clock
    /// is not.
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

    /// Parses a value from the platform's store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::InvalidKey`] or [`RecordError::UnknownKind`] if the
    /// key is not the store key of a record, and [`RecordError::MalformedValue`]
    /// if the value is not a stored record or belongs to another key.
    pub fn from_store(store_key: &str, value: &[u8]) -> Result<Self, RecordError> {
        let malformed = |detail: String| RecordError::MalformedValue(store_key.to_owned(), detail);
        let key = RecordKey::from_store_key(store_key)?;
        let record: Self = serde_json::from_slice(value).map_err(|e| malformed(e.to_string()))?;
        if record.key != key {
            return Err(malformed(format!("it contains the record {}", record.key)));
        }
        if record.change.deleted != record.document.is_none() {
            return Err(malformed(
                "a record has a document unless it is deleted".to_owned(),
            ));
        }
        Ok(record)
    }

    /// Serializes the record for the platform's store.
    #[must_use]
    pub fn to_store(&self) -> Vec<u8> {
        // Serialization cannot fail, because all map keys are strings.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the number of the change.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.change.generation
    }

    /// Returns the write that created this version.
    #[must_use]
    pub const fn writer(&self) -> WriterId {
        self.change.writer
    }

    /// Returns the time of the write, by the writer's clock.
    #[must_use]
    pub const fn written_at(&self) -> Timestamp {
        self.change.written_at
    }

    /// Returns whether this version is a deletion.
    #[must_use]
    pub const fn is_deleted(&self) -> bool {
        self.change.deleted
    }

    /// Returns the rank of this version in the order of versions.
    #[must_use]
    pub const fn rank(&self) -> RecordRank {
        RecordRank {
            generation: self.change.generation,
            written_at: self.change.written_at,
            writer: self.change.writer,
        }
    }

    /// Returns whether a write created this version or one of the versions in its
    /// history.
    #[must_use]
    pub fn includes_write(&self, writer: WriterId) -> bool {
        self.writer() == writer || self.history.iter().any(|c| c.writer == writer)
    }

    /// Validates the document, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Invalid`] with every violation if the document is
    /// not valid.
    pub fn parse_document(&self) -> Result<Option<Document>, RecordError> {
        self.document.clone().map(Document::from_value).transpose()
    }

    /// Returns a digest of the key and rank of this version.
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
