//! The records that a host holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{
    ConfigDigest, Generation, RecordError, RecordKey, RecordRank, RecordSpec, StoredRecord,
};

/// A record and the configuration that is in force because of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordEntry {
    /// Newest known version.
    pub stored: Arc<StoredRecord>,
    /// Normal form in force; absent after a deletion. If this build cannot parse
    /// the newest version, the last version that it could parse stays in force.
    pub spec: Option<Arc<RecordSpec>>,
    /// Error of parsing the newest version, if it could not be parsed.
    pub unreadable: Option<RecordError>,
}

/// Result of merging a version into a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The version is newer than the one held and replaced it.
    Adopted,
    /// The version is already held.
    Same,
    /// The version is older than the one held and was ignored.
    Stale,
}

/// The records that a host holds, each in its newest known version.
///
/// Merging is commutative, associative and idempotent: hosts that have received
/// the same versions hold equal sets, regardless of the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordSet {
    entries: BTreeMap<RecordKey, RecordEntry>,
    digest: ConfigDigest,
}

impl RecordSet {
    /// Merges one version; a version older than the one held is ignored.
    pub fn merge(&mut self, record: StoredRecord) -> MergeOutcome {
        let held = self.entries.get(&record.key);
        let outcome = compare(held.map(|e| e.stored.rank()), record.rank());
        if outcome != MergeOutcome::Adopted {
            return outcome;
        }
        if let Some(held) = held {
            self.digest = self.digest.toggled(held.stored.digest());
        }
        self.digest = self.digest.toggled(record.digest());
        let entry = RecordEntry::new(record, held.and_then(|e| e.spec.clone()));
        self.entries.insert(entry.stored.key.clone(), entry);
        outcome
    }

    /// Returns the digest of all versions held.
    #[must_use]
    pub const fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Returns the number of records, deleted ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the set holds no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a record, deleted ones included.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.entries.get(key)
    }

    /// Returns the generation held of a record, or zero if there is none.
    #[must_use]
    pub fn generation(&self, key: &RecordKey) -> Generation {
        self.get(key)
            .map_or(Generation::default(), |e| e.stored.generation())
    }

    /// Returns every record ordered by key, deleted ones included.
    pub fn iter(&self) -> impl Iterator<Item = &RecordEntry> {
        self.entries.values()
    }

    /// Returns the version held of each record, ordered by key.
    #[must_use]
    pub fn index(&self) -> RecordIndex {
        let rank = |entry: &RecordEntry| (entry.stored.key.clone(), entry.stored.rank());
        RecordIndex(self.entries.values().map(rank).collect())
    }

    /// Returns the keys of the records that are newer in `index` than in this set
    /// or missing from this set.
    #[must_use]
    pub fn keys_newer_in(&self, index: &RecordIndex) -> Vec<RecordKey> {
        let is_newer = |key: &RecordKey, rank: RecordRank| {
            self.get(key).is_none_or(|e| e.stored.rank() < rank)
        };
        let newer = index.0.iter().filter(|(key, rank)| is_newer(key, **rank));
        newer.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the records that are newer in this set than in `index` or missing
    /// from `index`.
    #[must_use]
    pub fn newer_than(&self, index: &RecordIndex) -> Vec<Arc<StoredRecord>> {
        let is_newer = |record: &StoredRecord| {
            index
                .0
                .get(&record.key)
                .is_none_or(|rank| *rank < record.rank())
        };
        let records = self.entries.values().map(|e| &e.stored);
        records.filter(|record| is_newer(record)).cloned().collect()
    }
}

impl FromIterator<StoredRecord> for RecordSet {
    fn from_iter<I: IntoIterator<Item = StoredRecord>>(records: I) -> Self {
        let mut set = Self::default();
        for record in records {
            set.merge(record);
        }
        set
    }
}

impl RecordEntry {
    fn new(stored: StoredRecord, previous: Option<Arc<RecordSpec>>) -> Self {
        let (spec, unreadable) = match stored.parse_document() {
            Ok(document) => (document.map(|d| Arc::new(d.into_parts().1)), None),
            Err(e) => (previous, Some(e)),
        };
        Self {
            stored: Arc::new(stored),
            spec,
            unreadable,
        }
    }
}

/// The version that a set holds of each record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordIndex(pub BTreeMap<RecordKey, RecordRank>);

fn compare(held: Option<RecordRank>, offered: RecordRank) -> MergeOutcome {
    match held {
        Some(held) if held == offered => MergeOutcome::Same,
        Some(held) if held > offered => MergeOutcome::Stale,
        _ => MergeOutcome::Adopted,
    }
}
