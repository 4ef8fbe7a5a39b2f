//! Watches values of the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use geranium_core::engine::HostEntry;
use geranium_platform::{KvStore, StoreError, StoredValue, WatchBatch, WatchChange};
use rand::Rng;
use tokio::sync::mpsc;

use super::ControlInput;
use super::table_store::parse_table;

/// Minimum delay before a failed store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum jitter added to the delay, so that hosts do not retry at the same time.
const RETRY_JITTER: Duration = Duration::from_millis(300);

/// Values that a [`StoreWatcher`] watches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchTarget {
    /// The platform's list of hosts below this prefix.
    Hosts(String),
    /// The group table under this key.
    Table(String),
}

impl WatchTarget {
    fn prefix(&self) -> &str {
        match self {
            Self::Hosts(prefix) | Self::Table(prefix) => prefix,
        }
    }
}

/// Watches the values below one prefix and sends them to the control task.
pub struct StoreWatcher<S> {
    store: S,
    target: WatchTarget,
    tx: mpsc::Sender<ControlInput>,
    values: BTreeMap<String, StoredValue>,
}

impl<S: KvStore> StoreWatcher<S> {
    /// Creates a watcher.
    pub fn new(store: S, target: WatchTarget, tx: mpsc::Sender<ControlInput>) -> Self {
        Self {
            store,
            target,
            tx,
            values: BTreeMap::new(),
        }
    }

    /// Watches the values until the control task ends.
    pub async fn run(mut self) {
        while !self.tx.is_closed() {
            if let Err(e) = self.read_and_watch().await {
                log::debug!("cannot watch {:?}: {e}", self.target.prefix());
            }
            tokio::time::sleep(retry_delay()).await;
        }
    }

    /// Reads all values, then watches for changes until the first failure.
    async fn read_and_watch(&mut self) -> Result<(), StoreError> {
        let read = self.store.range(self.target.prefix()).await?;
        self.values = read
            .values
            .into_iter()
            .map(|v| (v.key.clone(), v))
            .collect();
        self.report_all().await;
        let mut watch = self
            .store
            .watch(self.target.prefix(), read.revision)
            .await?;
        while let Some(batch) = watch.next().await {
            self.apply_batch(batch?).await;
        }
        Ok(())
    }

    async fn apply_batch(&mut self, batch: WatchBatch) {
        for change in batch.changes {
            match change {
                WatchChange::Put(value) => {
                    self.values.insert(value.key.clone(), value);
                }
                WatchChange::Deleted { key, .. } => {
                    self.values.remove(&key);
                }
            }
        }
        self.report_all().await;
    }

    async fn report_all(&self) {
        match &self.target {
            WatchTarget::Hosts(_) => self.report_hosts().await,
            WatchTarget::Table(key) => self.report_table(key).await,
        }
    }

    async fn report_hosts(&self) {
        let mut hosts: Vec<HostEntry> = Vec::with_capacity(self.values.len());
        for value in self.values.values() {
            match serde_json::from_slice(&value.value) {
                Ok(host) => hosts.push(host),
                Err(e) => log::warn!("invalid host entry in {:?}: {e}", value.key),
            }
        }
        self.send(ControlInput::Hosts(hosts)).await;
    }

    async fn report_table(&self, key: &str) {
        if let Some(table) = self.values.get(key).and_then(parse_table) {
            self.send(ControlInput::Table(table)).await;
        }
    }

    async fn send(&self, input: ControlInput) {
        // The control task ends only at shutdown.
        let _ = self.tx.send(input).await;
    }
}

/// Returns the retry delay with random jitter.
pub fn retry_delay() -> Duration {
    RETRY_DELAY + rand::rng().random_range(Duration::ZERO..RETRY_JITTER)
}
