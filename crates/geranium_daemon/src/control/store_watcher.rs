//! Follows values of the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use geranium_core::engine::HostEntry;
use geranium_platform::{KvStore, StoreError, StoredValue, WatchBatch, WatchChange};
use rand::Rng;
use tokio::sync::mpsc;

use super::ControlInput;
use super::table_store::parse_table;

/// Shortest pause before a failed read is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest random addition to the pause, so that hosts do not return in step.
const RETRY_JITTER: Duration = Duration::from_millis(300);

/// What a mirror follows.
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

/// Follows the values below one prefix and reports them to the control task.
pub struct StoreWatcher<S> {
    store: S,
    target: WatchTarget,
    tx: mpsc::Sender<ControlInput>,
    values: BTreeMap<String, StoredValue>,
}

impl<S: KvStore> StoreWatcher<S> {
    /// Makes a mirror.
    pub fn new(store: S, target: WatchTarget, tx: mpsc::Sender<ControlInput>) -> Self {
        Self {
            store,
            target,
            tx,
            values: BTreeMap::new(),
        }
    }

    /// Follows the values until the control task is gone.
    pub async fn run(mut self) {
        while !self.tx.is_closed() {
            if let Err(e) = self.read_and_watch().await {
                log::debug!("cannot follow {:?}: {e}", self.target.prefix());
            }
            tokio::time::sleep(retry_delay()).await;
        }
    }

    /// Reads everything once, then follows changes until the first failure.
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
                Err(e) => log::warn!("value of {:?} is not a host: {e}", value.key),
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
        // The control task is gone only while the process ends.
        let _ = self.tx.send(input).await;
    }
}

/// Returns a pause with jitter.
pub fn retry_delay() -> Duration {
    RETRY_DELAY + rand::rng().random_range(Duration::ZERO..RETRY_JITTER)
}
