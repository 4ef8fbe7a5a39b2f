//! Applies decoded values of the store to the local view.

use std::rc::Rc;
use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_fleet::deployment::Deployment;
use geranium_fleet::directory::Directory;
use geranium_fleet::evidence::Evidence;
use geranium_fleet::host::Host;
use geranium_fleet::route_table::RouteTable;
use geranium_platform::{StoredValue, WatchChange};

use super::StoreWatcher;
use crate::crash_record::{CRASH_PREFIX, CrashRecord};
use crate::dialect::Dialect;
use crate::entry_registration::{ENTRY_PREFIX, EntryRegistration, MANAGER_KEY};
use crate::metrics::gauge;
use crate::store_update::StoreUpdate;

/// Margin added to the cold start of backend servers that return to service with their
/// failure domain, as they may have turned cold unnoticed.
const COLD_MARGIN: Duration = Duration::from_millis(1_500);

impl<D: Dialect> StoreWatcher<D> {
    pub(super) fn apply_change(&self, change: WatchChange) {
        let (revision, update) = match change {
            WatchChange::Put(StoredValue {
                key,
                value,
                revision,
                ..
            }) => (revision, self.shared.dialect.decode(&key, &value)),
            WatchChange::Deleted { key, revision } => {
                (revision, self.shared.dialect.decode_deletion(&key))
            }
        };
        self.apply(update, revision);
    }

    /// Applies a value that the store holds as of a revision.
    pub(super) fn apply(&self, update: StoreUpdate, revision: StoreRevision) {
        let now = self.shared.now();
        match update {
            StoreUpdate::Deployment(deployment) => self.apply_deployment(*deployment),
            StoreUpdate::Host(mut host, cold_ms) => {
                host.group.set_evidence(Evidence::Entry(revision));
                self.apply_host(*host, cold_ms, now);
            }
            StoreUpdate::HostRemoved(id) => {
                log::info!(host:% = id; "entry of a backend server has gone");
                self.remove_host(&id, now);
            }
            StoreUpdate::DomainOutOfService(domain) => {
                log::info!(failure_domain:% = domain; "failure domain is out of service");
                self.shared
                    .core
                    .borrow_mut()
                    .directory
                    .set_domain_out(&domain, true);
            }
            StoreUpdate::DomainInService(domain) => {
                log::info!(failure_domain:% = domain; "failure domain is back in service");
                let mut core = self.shared.core.borrow_mut();
                let cold_until = now + core.longest_cold_start() + COLD_MARGIN;
                core.directory.set_domain_out(&domain, false);
                core.directory.set_domain_cold(&domain, cold_until);
            }
            StoreUpdate::Internal { name, value } => {
                self.on_internal(&name, value.as_deref(), now);
            }
            StoreUpdate::Invalid { key, detail } => {
                log::warn!(key:% = key.escape_debug(); "value of the store is set aside: {detail}");
            }
            StoreUpdate::Unrelated => {}
        }
    }

    fn apply_deployment(&self, deployment: Deployment) {
        let mut core = self.shared.core.borrow_mut();
        let in_force = core.route_table.as_ref().map(|t| t.deployment().version);
        if in_force.is_some_and(|v| deployment.version <= v) {
            log::debug!(version = deployment.version, in_force = in_force; "ignoring a configuration that is not newer");
            return;
        }
        log::info!(version = deployment.version, before = in_force, routes = deployment.routes.len(); "configuration is in force");
        self.shared.metrics.version.set(gauge(deployment.version));
        self.shared.configured_at.set(Some(self.shared.now()));
        core.route_table = Some(Rc::new(RouteTable::new(deployment)));
    }

    fn apply_host(&self, mut host: Host, cold_ms: u64, now: Timestamp) {
        host.cold_until = (cold_ms > 0).then(|| now + Duration::from_millis(cold_ms));
        log::info!(
            host:% = host.id, state:? = host.state, cold_ms = cold_ms, born = host.incarnation,
            fabric_domain = host.fabric_domain.as_deref(), model = host.model.as_deref(), staged = host.staged.join(","),
            group = host.membership().map(|m| format!("{}/{}/{}/{:?}", m.group, m.epoch, m.rank, m.state));
            "backend server reports"
        );
        let (id, incarnation) = (host.id.clone(), host.incarnation);
        let before = self.incarnation_of(&id);
        if before.is_some_and(|b| incarnation < b) {
            log::info!(host:% = id, born = incarnation, known = before; "ignoring an entry of an earlier incarnation");
            return;
        }
        self.put_host(host);
        if let Some(before) = before.filter(|b| *b != incarnation) {
            self.shared.record_host_ended(&id, before);
        }
    }

    /// Puts a host into the directory. The manager weighs the entry against what it knows, as
    /// its orders rest on that, and logs an entry that it sets aside; all others follow the
    /// store.
    fn put_host(&self, host: Host) {
        let directory = &mut self.shared.core.borrow_mut().directory;
        if !self.shared.is_manager.get() {
            directory.follow(host);
            return;
        }
        let id = host.id.clone();
        let is_contested = |d: &Directory| d.get(&id).is_some_and(|h| h.group.is_contested());
        let was_contested = is_contested(directory);
        directory.put(host);
        if !was_contested && is_contested(directory) {
            let known = directory.get(&id).map(|h| h.group.to_string());
            log::info!(host:% = id, known = known; "entry of a backend server contradicts its known group");
        }
    }

    fn incarnation_of(&self, id: &str) -> Option<u64> {
        let core = self.shared.core.borrow();
        core.directory.get(id).map(|h| h.incarnation)
    }

    fn remove_host(&self, id: &str, now: Timestamp) {
        let incarnation = self.incarnation_of(id);
        self.shared.core.borrow_mut().directory.remove(id, now);
        if let Some(incarnation) = incarnation {
            self.shared.record_host_ended(id, incarnation);
        }
    }

    fn on_internal(&self, name: &str, value: Option<&[u8]>, now: Timestamp) {
        let mut core = self.shared.core.borrow_mut();
        if let Some(entry) = name.strip_prefix(ENTRY_PREFIX) {
            let parsed = value.and_then(EntryRegistration::parse);
            let peer = parsed.map(EntryRegistration::into_peer);
            let changed = core.record_entry_host(entry, peer.as_ref(), now);
            // The initial snapshot logs a single line for all registrations.
            if changed && core.snapshot_loaded {
                log::info!(entry_host:% = entry.escape_debug(), registered = peer.is_some(); "registration of an entry host changed");
            }
            self.peers.set_peer(entry, peer);
        } else if name == MANAGER_KEY {
            core.manager = value
                .and_then(EntryRegistration::parse)
                .map(|e| (e.name, e.peers));
            let manager = core.manager.as_ref().map(|(name, _)| name.as_str());
            log::info!(manager = manager; "manager of the groups changed");
        } else if name.starts_with(CRASH_PREFIX)
            && let Some(record) = value.and_then(CrashRecord::parse)
        {
            drop(core);
            self.shared.apply_crash_record(&record);
        }
    }
}
