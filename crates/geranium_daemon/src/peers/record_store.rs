//! Access to the records in the platform's store.

use std::sync::Arc;

use futures::StreamExt;
use geranium_core::id::StoreRevision;
use geranium_core::record::replication::{StoreChange, StoreRead, WriteBackOutcome};
use geranium_core::record::{RECORD_PREFIX, RecordKey, StoredRecord};
use geranium_platform::{
    CasOutcome, KvStore, StoreError, StoredValue, Swap, WatchBatch, WatchChange,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::{PeerInput, WatchEvent};

/// Reads, watches and writes back records in the platform's store, and sends the outcomes to
/// the peer task.
pub struct RecordStore<S> {
    store: S,
    tx: mpsc::Sender<PeerInput>,
    watch: Option<JoinHandle<()>>,
    watch_number: u64,
}

impl<S: KvStore> RecordStore<S> {
    /// Creates the access to the records, without a watch.
    pub const fn new(store: S, tx: mpsc::Sender<PeerInput>) -> Self {
        Self {
            store,
            tx,
            watch: None,
            watch_number: 0,
        }
    }

    /// Reads all records.
    pub fn read(&self) {
        let (store, tx) = (self.store.clone(), self.tx.clone());
        tokio::spawn(async move {
            let read = store.range(RECORD_PREFIX).await.map(|range| StoreRead {
                records: range.values.iter().filter_map(parse_record).collect(),
                revision: range.revision,
            });
            let _ = tx.send(PeerInput::StoreRead(read)).await;
        });
    }

    /// Starts a watch that replaces the current one.
    pub fn start_watch(&mut self, after: StoreRevision) {
        self.stop_watch();
        self.watch_number += 1;
        let number = self.watch_number;
        let (store, tx) = (self.store.clone(), self.tx.clone());
        self.watch = Some(tokio::spawn(async move {
            let event = match watch(&store, after, number, &tx).await {
                Ok(()) | Err(StoreError::Compacted(_)) => WatchEvent::Ended,
                Err(e) => WatchEvent::Failed(e),
            };
            let _ = tx.send(PeerInput::Watch(number, event)).await;
        }));
    }

    /// Stops the watch.
    pub fn stop_watch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// Returns whether an event with this number comes from the current watch.
    #[must_use]
    pub const fn is_current(&self, number: u64) -> bool {
        self.watch.is_some() && self.watch_number == number
    }

    /// Writes a version of a record that the store has lost.
    pub fn write_back(&self, record: Arc<StoredRecord>, expected: StoreRevision) {
        let (store, tx) = (self.store.clone(), self.tx.clone());
        let swap = Swap {
            key: record.key.store_key(),
            expected,
            value: Some(record.to_store().into()),
            lease: None,
        };
        tokio::spawn(async move {
            let outcome = match store.transact(vec![swap]).await {
                Ok(CasOutcome::Applied(revision)) => WriteBackOutcome::Applied(revision),
                Ok(CasOutcome::Conflict(values)) => {
                    WriteBackOutcome::Conflict(values.first().and_then(parse_record))
                }
                Err(_) => WriteBackOutcome::Failed,
            };
            let _ = tx.send(PeerInput::WriteBackResult(record, outcome)).await;
        });
    }
}

impl<S> Drop for RecordStore<S> {
    fn drop(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }
}

async fn watch<S: KvStore>(
    store: &S,
    after: StoreRevision,
    number: u64,
    tx: &mpsc::Sender<PeerInput>,
) -> Result<(), StoreError> {
    let mut batches = store.watch(RECORD_PREFIX, after).await?;
    while let Some(batch) = batches.next().await {
        let event = WatchEvent::Changes(store_changes(batch?));
        if tx.send(PeerInput::Watch(number, event)).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

fn store_changes(batch: WatchBatch) -> Vec<StoreChange> {
    let changes = batch.changes.into_iter().filter_map(|change| match change {
        WatchChange::Put(value) => {
            parse_record(&value).map(|(record, revision)| StoreChange::Put(record, revision))
        }
        WatchChange::Deleted { key, .. } => RecordKey::from_store_key(&key)
            .ok()
            .map(StoreChange::Deleted),
    });
    changes.collect()
}

fn parse_record(value: &StoredValue) -> Option<(StoredRecord, StoreRevision)> {
    match StoredRecord::from_store(&value.key, &value.value) {
        Ok(record) => Some((record, value.revision)),
        Err(e) => {
            log::warn!("ignoring a record in the store: {e}");
            None
        }
    }
}
