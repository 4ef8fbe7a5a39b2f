//! Watches the store: reads a full snapshot, then follows changes.

mod apply;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use geranium_core::collections::{HashMap, HashSet};
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_fleet::host::HostId;
use geranium_net::{ClientConfig, HttpClient};
use geranium_platform::{KvStore, StoreError, WatchBatch, WatchChange};
use rand::seq::IndexedRandom;

use crate::change_history::{ChangeForm, ReceivedPatches};
use crate::dialect::Dialect;
use crate::entry_registration::{ENTRY_PREFIX, MANAGER_KEY};
use crate::peer_changes::{self, PeerChanges};
use crate::peers::PeerLink;
use crate::state::SharedState;
use crate::store_update::StoreUpdate;

/// Delay after the first failed call, before jitter; it doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay after a failed call, before jitter; kept short so that the store is
/// contacted soon after it recovers.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Time for which an entry host that failed to pass on changes is not asked again.
const SOURCE_COOLDOWN: Duration = Duration::from_secs(2);
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
    /// Whether the next request for changes asks for whole values, as patches did not fit.
    whole_values_due: Cell<bool>,
}

impl<D: Dialect> StoreWatcher<D> {
    /// Creates a watcher that has not read the store yet.
    pub(crate) fn new(shared: Rc<SharedState<D>>, peers: Rc<PeerLink>) -> Self {
        Self {
            shared,
            peers,
            client: HttpClient::new(&ClientConfig::default()),
            source_cooldowns: RefCell::default(),
            whole_values_due: Cell::default(),
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

    /// Returns the entry hosts to ask for changes, in order of preference. A leader asks the
    /// manager; all others ask the leaders of their own failure domain first, then one leader
    /// of another failure domain.
    fn sources(&self) -> Vec<SocketAddr> {
        let cfg = &self.shared.cfg;
        if self.shared.is_manager.get() {
            return Vec::new();
        }
        let topology = self.peers.topology(&cfg.name, &cfg.failure_domain);
        let mut sources: Vec<SocketAddr> = if topology.is_leader {
            let core = self.shared.core.borrow();
            let manager = core.manager.iter().filter(|(name, _)| **name != *cfg.name);
            manager.map(|(_, address)| *address).collect()
        } else {
            let mut rng = rand::rng();
            let near = topology
                .local_leaders
                .choose_multiple(&mut rng, topology.local_leaders.len());
            let near: Vec<SocketAddr> = near.copied().collect();
            let far = topology.remote_leaders.choose(&mut rng).copied();
            near.into_iter().chain(far).collect()
        };
        let now = self.shared.now();
        let mut source_cooldowns = self.source_cooldowns.borrow_mut();
        source_cooldowns.retain(|_, until| now < *until);
        sources.retain(|s| !source_cooldowns.contains_key(s));
        sources
    }

    /// Fetches changes from another entry host; returns whether one of them answered.
    async fn poll_sources(&self, after: StoreRevision) -> bool {
        for source in self.sources() {
            if self.poll_source(source, after).await {
                return true;
            }
            let until = self.shared.now() + SOURCE_COOLDOWN;
            self.source_cooldowns.borrow_mut().insert(source, until);
        }
        false
    }

    async fn poll_source(&self, source: SocketAddr, after: StoreRevision) -> bool {
        let asked_at = self.shared.now();
        let form = self.next_form();
        match peer_changes::fetch(&self.client, source, after, form).await {
            Ok(Some(changes)) if self.is_from_another_era(&changes) => {
                log::info!(source:% = source, era = changes.era.map(|e| e.0); "changes of another entry host are from another era of the store");
                false
            }
            Ok(Some(changes)) => {
                self.record_store_contact(changes.age);
                let is_applied = self.apply_peer_changes(source, &changes, asked_at);
                if is_applied && !changes.is_empty() {
                    tokio::time::sleep(BATCH_INTERVAL).await;
                }
                is_applied || form == ChangeForm::Patched
            }
            Ok(None) => {
                log::info!(source:% = source, after = after.0; "another entry host cannot pass on changes");
                false
            }
            Err(e) => {
                log::info!(source:% = source, after = after.0; "failed to fetch changes from another entry host: {e}");
                false
            }
        }
    }

    /// Returns the form in which to ask for the next changes.
    pub(crate) fn next_form(&self) -> ChangeForm {
        if self.whole_values_due.replace(false) {
            ChangeForm::Compressed
        } else {
            ChangeForm::Patched
        }
    }

    /// Applies the changes that another entry host returned for a request sent at `asked_at`;
    /// returns whether it could. If not, whole values are asked for next.
    pub(crate) fn apply_peer_changes(
        &self,
        source: SocketAddr,
        changes: &PeerChanges,
        asked_at: Timestamp,
    ) -> bool {
        let took = self.shared.now().since(asked_at);
        let complete_at = self.shared.now() - changes.age;
        let bytes = changes.received_bytes;
        self.shared.metrics.peer_change_bytes.inc_by(bytes as u64);
        if bytes >= LARGE_READ_BYTES {
            log::info!(source:% = source, bytes = bytes, changes = changes.changes.len(), revision = changes.revision.0, took_ms = took.as_millis() as u64; "many bytes of changes came from another entry host");
        }
        match self.shared.recent_changes.resolve(changes) {
            Ok((batch, _)) if batch.changes.is_empty() => {}
            Ok((batch, received)) => self.apply_batch(batch, &received),
            Err(e) => {
                log::warn!(source:% = source, revision = changes.revision.0; "changes of another entry host do not fit: {e}");
                self.whole_values_due.set(true);
                return false;
            }
        }
        if changes.is_complete {
            self.record_complete(complete_at);
        }
        true
    }

    /// Records that the local view holds all changes that the store had at a moment.
    fn record_complete(&self, at: Timestamp) {
        self.shared.freshness.borrow_mut().record_complete(at);
        self.shared.check_freshness();
    }

    fn is_from_another_era(&self, changes: &PeerChanges) -> bool {
        let own = self.shared.store_era.get();
        own.is_some() && changes.era.is_some() && own != changes.era
    }

    /// Reads a full snapshot and removes everything that it does not contain.
    async fn read_all<S: KvStore>(&self, store: &S) -> Result<(), StoreError> {
        // A restore during the read makes another one due.
        self.shared.snapshot_due.set(false);
        let began = self.shared.now();
        let read = store.range("").await.inspect_err(|_| {
            self.shared.snapshot_due.set(true);
        })?;
        let era = *store.era().borrow();
        self.shared.store_era.set(era);
        self.record_store_contact(Duration::ZERO);
        let mut hosts = HashSet::default();
        let mut domains_out = HashSet::default();
        let mut internal_names = HashSet::default();
        for value in &read.values {
            let update = self.shared.dialect.decode(&value.key, &value.value);
            match &update {
                StoreUpdate::Host(host, _) => {
                    hosts.insert(host.id.clone());
                }
                StoreUpdate::DomainOutOfService(domain) => {
                    domains_out.insert(domain.clone());
                }
                StoreUpdate::Internal { name, .. } => {
                    internal_names.insert(name.clone());
                }
                _ => {}
            }
            self.apply(update, value.revision);
        }
        self.remove_unlisted(&hosts, &domains_out, &internal_names);
        let entry_hosts = self.shared.core.borrow().entry_hosts.len();
        let bytes: usize = read.values.iter().map(|v| v.value.len()).sum();
        let took = self.shared.now().since(began);
        log::info!(revision = read.revision.0, hosts = hosts.len(), entry_hosts = entry_hosts, values = read.values.len(), bytes = bytes, took_ms = took.as_millis() as u64; "read a full snapshot of the store");
        self.shared.revision.set(Some(read.revision));
        let recent = &self.shared.recent_changes;
        recent.start(read.revision, era, &read.values);
        self.record_complete(began);
        self.shared.update_readiness();
        self.shared.state_changed.notify_waiters();
        Ok(())
    }

    fn remove_unlisted(
        &self,
        hosts: &HashSet<HostId>,
        domains_out: &HashSet<Arc<str>>,
        internal_names: &HashSet<String>,
    ) {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let ended = core.directory.retain_listed(hosts, now);
        if !self.shared.is_restore_recent() {
            core.directory.retain_domains_out(domains_out);
        }
        let gone: Vec<String> = core
            .entry_hosts
            .iter()
            .filter(|name| !internal_names.contains(&format!("{ENTRY_PREFIX}{name}")))
            .cloned()
            .collect();
        for name in gone {
            core.record_entry_host(&name, None, now);
            self.peers.set_peer(&name, None);
        }
        if !internal_names.contains(MANAGER_KEY) {
            core.manager = None;
        }
        core.snapshot_loaded = true;
        drop(core);
        if self.shared.is_restore_recent() {
            // The entries may be written again: the hosts have not ended.
            return;
        }
        for (id, incarnation) in ended {
            self.shared.record_host_ended(&id, incarnation);
        }
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
        let last_store_contact = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
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
