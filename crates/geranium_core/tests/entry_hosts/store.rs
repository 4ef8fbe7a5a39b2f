//! In-memory fake of the platform's store.

use std::collections::BTreeMap;

use geranium_core::id::StoreRevision;
use geranium_core::record::replication::StoreRead;
use geranium_core::record::{CurrentRecord, RecordKey, StoredRecord};

/// Records with their revisions, and the number of calls made.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub values: BTreeMap<RecordKey, (StoredRecord, StoreRevision)>,
    pub revision: StoreRevision,
    pub is_down: bool,
    pub calls: u64,
}

impl Store {
    pub fn read(&self) -> StoreRead {
        StoreRead {
            records: self.values.values().cloned().collect(),
            revision: self.revision,
        }
    }

    pub fn current(&self, key: &RecordKey) -> CurrentRecord {
        match self.values.get(key) {
            Some((record, revision)) => CurrentRecord {
                stored: Some(record.clone()),
                revision: *revision,
            },
            None => CurrentRecord::default(),
        }
    }

    /// Writes a record if its current revision is the expected one.
    pub fn write(
        &mut self,
        record: &StoredRecord,
        expected: StoreRevision,
    ) -> Option<StoreRevision> {
        if self.current(&record.key).revision != expected {
            return None;
        }
        self.revision = self.revision.next();
        let value = (record.clone(), self.revision);
        self.values.insert(record.key.clone(), value);
        Some(self.revision)
    }
}
