//! Watches the store: reads a full snapshot, then follows changes.

mod apply;
mod snapshot;
mod sources;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use geranium_core::collections::HashMap;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_net::{ClientConfig, HttpClient};
use geranium_platform::{KvStore, StoreError, WatchBatch, WatchChange};

use crate::change_history::ReceivedPatches;
use crate::dialect::Dialect;
use crate::peers::PeerLink;
use crate::state::SharedState;

/// Delay after the first failed call, before jitter; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay after a failed call, before jitter; kept short so that the store is
/// contacted soon after it recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Shortest time without a response that counts as an outage of the store.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// Delay between two reads of changes, so that changes arrive in batches, as calls to the
/// store are counted.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Same delay for the manager; shorter, as its orders wait for the reports of hosts.
const MANAGER_BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Size from which a read of changes is logged, in bytes.
const LARGE_READ_BYTES: usize = 64 << 10;

/// Watches the store until the process ends.
pub(crate) async fn run<D: Dialect, S: KvStore>(watcher: Rc<StoreWatcher<D>>, store: S) {
    let mut failures = 0;
    loop {
        let known = watcher.shared.revision.get();
        let followed = known.filter(|_| !watcher.shared.snapshot_due.get());
        let outcome = match followed {
            None => watcher.read_all(&store).await,
            Some(after) if watcher.poll_sources(after).await => Ok(()),
            Some(after) => watcher.watch(&store, after).await,
        };
        let Err(e) = outcome else {
            failures = 0;
            continue;
        };
        watcher.record_store_failure(&e);
        if needs_snapshot(&e) {
            watcher.shared.snapshot_due.set(true);
            continue;
        }
        failures += 1;
        back_off(failures).await;
    }
}

/// Returns whether changes cannot be followed further from the present revision.
const fn needs_snapshot(e: &StoreError) -> bool {
    matches!(
        e,
        StoreError::Compacted(_) | StoreError::TooManyChanges(..) | StoreError::Restored(..)
    )
}

/// Waits after a failed call, with exponential backoff and jitter so that entry hosts do
/// not retry at the same time.
pub(crate) async fn back_off(failures: u32) {
    let delay = INITIAL_RETRY_DELAY * (1 << failures.saturating_sub(1).min(8));
    let jitter = rand::random_range(0.5..1.5);
    tokio::time::sleep(delay.min(MAX_RETRY_DELAY).mul_f64(jitter)).await;
}

/// Applies the contents and changes of the store to the local state.
pub(crate) struct StoreWatcher<D: Dialect> {
    shared: Rc<SharedState<D>>,
    peers: Rc<PeerLink>,
    client: HttpClient,
    /// Entry hosts that failed to pass on changes, and until when they are not asked.
    source_cooldowns: RefCell<HashMap<SocketAddr, Timestamp>>,
    /// Whether the next request for changes asks for compressed values, as patches did not fit.
    compressed_due: Cell<bool>,
}

impl<D: Dialect> StoreWatcher<D> {
    /// Creates a watcher that has not read the store yet.
    pub(crate) fn new(shared: Rc<SharedState<D>>, peers: Rc<PeerLink>) -> Self {
        Self {
            shared,
            peers,
            client: HttpClient::new(&ClientConfig::default()),
            source_cooldowns: RefCell::default(),
            compressed_due: Cell::default(),
        }
    }

    pub(crate) fn shared(&self) -> &SharedState<D> {
        &self.shared
    }

    /// Returns the client for HTTP requests to other entry hosts.
    pub(crate) const fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Returns the link to the other entry hosts.
    pub(crate) fn peers(&self) -> &PeerLink {
        &self.peers
    }

    /// Records that the local view holds all changes that the store had at a moment.
    fn record_complete(&self, at: Timestamp) {
        self.shared.freshness.borrow_mut().record_complete(at);
        self.shared.check_freshness();
    }

    /// Watches the store until a call fails or another entry host can be asked instead.
    async fn watch<S: KvStore>(&self, store: &S, after: StoreRevision) -> Result<(), StoreError> {
        let mut changes = store.watch("", after).await?;
        while let Some(batch) = changes.next().await {
            let batch = batch?;
            self.record_store_contact(Duration::ZERO);
            let changed = !batch.changes.is_empty();
            if changed {
                let bytes: usize = batch.changes.iter().map(WatchChange::value_bytes).sum();
                if bytes >= LARGE_READ_BYTES {
                    log::info!(bytes = bytes, changes = batch.changes.len(), revision = batch.revision.0; "many bytes of changes came from the store");
                }
                self.apply_batch(batch, &ReceivedPatches::default());
            }
            self.record_complete(self.shared.now());
            if !self.sources().is_empty() || self.shared.snapshot_due.get() {
                return Ok(());
            }
            if !changed {
                continue;
            }
            let pause = if self.shared.is_manager.get() {
                MANAGER_BATCH_INTERVAL
            } else {
                BATCH_INTERVAL
            };
            tokio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Applies changes from the store or from another entry host, except those that were
    /// applied already. `received` are the patches by which large values came.
    fn apply_batch(&self, mut batch: WatchBatch, received: &ReceivedPatches) {
        let current = self.shared.revision.get().unwrap_or_default();
        batch.changes.retain(|c| c.revision() > current);
        self.shared.recent_changes.append(&batch, received);
        self.shared.revision.set(Some(batch.revision.max(current)));
        for change in batch.changes {
            self.apply_change(change);
        }
        self.shared.update_readiness();
        self.shared.state_changed.notify_waiters();
    }

    /// Records a contact with the store that took place `age` ago, here or at another entry
    /// host.
    fn record_store_contact(&self, age: Duration) {
        let now = self.shared.now();
        let last_store_contact = now - age;
        self.shared
            .recent_changes
            .set_last_contact(Some(last_store_contact));
        self.shared
            .core
            .borrow_mut()
            .dispatcher
            .senders_mut()
            .confirm_list(last_store_contact);
        let outage = now.since(self.shared.last_store_contact.replace(last_store_contact));
        if self.shared.store_unreachable.replace(false) && outage > MIN_OUTAGE {
            self.shared
                .core
                .borrow_mut()
                .directory
                .mark_store_recovered(now);
            // They were asked during the outage, and may have changes again.
            self.source_cooldowns.borrow_mut().clear();
            log::info!(away_ms = outage.as_millis() as u64; "store answers again");
        }
    }

    fn record_store_failure(&self, e: &StoreError) {
        self.shared.store_unreachable.set(true);
        self.shared.recent_changes.set_last_contact(None);
        let silent = self
            .shared
            .now()
            .since(self.shared.last_store_contact.get());
        log::warn!(silent_ms = silent.as_millis() as u64; "store call failed: {e}");
    }
}
