//! Fetches changes of the store from other entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use rand::seq::IndexedRandom;

use super::{BATCH_INTERVAL, LARGE_READ_BYTES, StoreWatcher};
use crate::change_form::ChangeForm;
use crate::dialect::Dialect;
use crate::peer_changes::{self, PeerChanges};

/// Time for which an entry host that failed to pass on changes is not asked again.
const SOURCE_COOLDOWN: Duration = Duration::from_secs(2);

impl<D: Dialect> StoreWatcher<D> {
    /// Returns the entry hosts to ask for changes, in order of preference. A leader asks the
    /// manager; all others ask the leaders of their own failure domain first, then one leader
    /// of another failure domain.
    pub(super) fn sources(&self) -> Vec<SocketAddr> {
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
    pub(super) async fn poll_sources(&self, after: StoreRevision) -> bool {
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
        if self.compressed_due.replace(false) {
            ChangeForm::Compressed
        } else {
            ChangeForm::Patched
        }
    }

    /// Applies the changes that another entry host returned for a request sent at `asked_at`;
    /// returns whether it could. If not, compressed values are asked for next.
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
                self.compressed_due.set(true);
                return false;
            }
        }
        if changes.is_complete {
            self.record_complete(complete_at);
        }
        true
    }

    fn is_from_another_era(&self, changes: &PeerChanges) -> bool {
        let own = self.shared.store_era.get();
        own.is_some() && changes.era.is_some() && own != changes.era
    }
}
