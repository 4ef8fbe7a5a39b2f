//! Reads everything that the store holds.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashSet;
use geranium_fleet::host::HostId;
use geranium_platform::{KvStore, StoreError};

use super::StoreWatcher;
use crate::dialect::Dialect;
use crate::entry_registration::{ENTRY_PREFIX, MANAGER_KEY};
use crate::store_update::StoreUpdate;

impl<D: Dialect> StoreWatcher<D> {
    /// Reads a full snapshot and removes everything that it does not contain.
    pub(super) async fn read_all<S: KvStore>(&self, store: &S) -> Result<(), StoreError> {
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
}
