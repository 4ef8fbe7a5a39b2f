//! Registration of entry hosts in the store, and election of the manager.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_fleet::candidacy::Candidacy;
use geranium_fleet::dispatch::REGISTRATION_LEASE;
use geranium_platform::{CasOutcome, KvStore, LeaseId, StoreError, Swap};
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::entry_registration::{ENTRY_PREFIX, EntryRegistration, MANAGER_KEY};
use crate::manager::run_manager;
use crate::peers::PeerLink;
use crate::state::{Phase, SharedState};
use crate::store_watcher::back_off;
use crate::term::{ManagerTerm, StoredTerm, TERM_KEY};

/// Shortest lease of the manager role. After the manager has failed, groups are not
/// repaired until the lease expires.
const MANAGER_LEASE: Duration = Duration::from_millis(1_400);
/// Number of renewals within the time of one lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Keeps this entry host registered, takes part in the election and manages groups while
/// elected, until the process shuts down.
pub(crate) async fn run<D: Dialect, S: KvStore>(
    shared: Rc<SharedState<D>>,
    store: S,
    peers: Rc<PeerLink>,
) {
    let (tx, rx) = watch::channel(None);
    let managing = run_manager(shared.clone(), rx, peers.clone());
    tokio::task::spawn_local(managing);
    let mut phase = shared.phase.subscribe();
    let mut failures = 0;
    loop {
        if *phase.borrow_and_update() != Phase::Serving {
            return;
        }
        let candidate = Candidate {
            shared: shared.clone(),
            store: store.clone(),
            peers: peers.clone(),
            elected: tx.clone(),
            manager_lease: Cell::new(None),
            stored_term: Cell::new(StoredTerm::ABSENT),
            candidacy: RefCell::default(),
        };
        let began = shared.now();
        if let Err(e) = candidate.keep_registered(&mut phase).await {
            log::warn!("registration of this entry host failed: {e}");
        }
        tx.send_replace(None);
        shared.is_manager.set(false);
        candidate.end_registration();
        let lasted = shared.now().since(began) > REGISTRATION_LEASE;
        failures = if lasted { 1 } else { failures + 1 };
        back_off(failures).await;
    }
}

/// A registered entry host that may become manager; valid for one registration lease.
struct Candidate<D: Dialect, S: KvStore> {
    shared: Rc<SharedState<D>>,
    store: S,
    peers: Rc<PeerLink>,
    elected: watch::Sender<Option<ManagerTerm>>,
    /// Lease of the manager role, while this entry host holds it.
    manager_lease: Cell<Option<LeaseId>>,
    /// What the store holds of the last term, as far as is known.
    stored_term: Cell<StoredTerm>,
    /// Turn of this entry host while the role of the manager is vacant.
    candidacy: RefCell<Candidacy>,
}

impl<D: Dialect, S: KvStore> Candidate<D, S> {
    /// Registers and renews the lease until it is lost or the process shuts down.
    async fn keep_registered(&self, phase: &mut watch::Receiver<Phase>) -> Result<(), StoreError> {
        let mut restores = self.shared.restored_at.subscribe();
        let lease_time = self.lease_time(REGISTRATION_LEASE);
        let requested_at = self.shared.now();
        let lease = self.store.grant_lease(lease_time).await?;
        self.register(lease).await?;
        let mut renewed_at = self.shared.now();
        self.shared
            .core
            .borrow_mut()
            .dispatcher
            .senders_mut()
            .record_registered(lease_time, requested_at, renewed_at);
        loop {
            self.try_become_manager().await;
            let renewal = renewed_at + lease_time / RENEWALS_PER_LEASE;
            tokio::select! {
                () = tokio::time::sleep(self.pause_until(renewal)) => {}
                () = self.wait_for_vacancy() => continue,
                _ = phase.changed() => return self.resign(lease).await,
                // The leases may be gone and their numbers given to others.
                _ = restores.changed() => return Err(StoreError::LeaseNotFound(lease.0)),
            }
            if let Some(manager_lease) = self.manager_lease.get() {
                self.renew(manager_lease).await?;
            }
            if self.shared.now() >= renewal {
                self.renew_registration(lease).await?;
                renewed_at = self.shared.now();
            }
            self.step_down_if_replaced();
            self.step_down_if_cut_off().await;
        }
    }

    fn lease_time(&self, minimum: Duration) -> Duration {
        minimum.max(self.shared.cfg.min_lease)
    }

    /// Returns the time until the next renewal is due, or the turn to stand as manager.
    fn pause_until(&self, renewal: Timestamp) -> Duration {
        let now = self.shared.now();
        let turn = self.candidacy.borrow().turn();
        let pause = turn.map_or(renewal, |turn| turn.min(renewal)).since(now);
        match self.manager_lease.get() {
            Some(_) => pause.min(self.lease_time(MANAGER_LEASE) / RENEWALS_PER_LEASE),
            None => pause,
        }
    }

    /// Renews the lease of the registration.
    async fn renew_registration(&self, lease: LeaseId) -> Result<(), StoreError> {
        let requested_at = self.shared.now();
        if self.renew(lease).await? {
            let mut core = self.shared.core.borrow_mut();
            core.dispatcher.senders_mut().record_renewed(requested_at);
        }
        Ok(())
    }

    /// Renews a lease; returns whether the store confirmed it.
    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        match self.store.keep_alive(lease).await {
            Ok(_) => Ok(true),
            Err(e @ StoreError::LeaseNotFound(_)) => Err(e),
            // Keep the role: if the store is unavailable to all entry hosts, no other one
            // can be elected, and the expected counts in orders prevent conflicts between
            // two managers.
            Err(e) => {
                log::warn!("failed to renew a lease: {e}");
                Ok(false)
            }
        }
    }

    /// Revokes the leases of the manager role and of the registration.
    async fn resign(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.elected.send_replace(None);
        self.end_registration();
        if let Some(manager_lease) = self.manager_lease.take() {
            self.store.revoke_lease(manager_lease).await?;
        }
        self.store.revoke_lease(lease).await
    }

    /// Stops sending to cold backend servers, as others may take this entry host's place.
    fn end_registration(&self) {
        let mut core = self.shared.core.borrow_mut();
        core.dispatcher.senders_mut().end_registration();
    }

    fn registration_value(&self) -> Bytes {
        let registration = EntryRegistration {
            name: self.shared.cfg.name.to_string(),
            failure_domain: self.shared.cfg.failure_domain.to_string(),
            peers: self.shared.cfg.peer_address,
            forward: self.shared.cfg.forward_address,
            processor_share: self.shared.cfg.processor_share,
            reads_demand: true,
        };
        match serde_json::to_vec(&registration) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("failed to serialize the registration: {e}");
                Bytes::new()
            }
        }
    }

    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        let name = format!("{ENTRY_PREFIX}{}", self.shared.cfg.name);
        let key = self.shared.dialect.internal_key(&name);
        let mut expected = StoreRevision(0);
        loop {
            let swap = Swap {
                key: key.clone(),
                expected,
                value: Some(self.registration_value()),
                lease: Some(lease),
            };
            match self.store.transact(vec![swap]).await? {
                CasOutcome::Applied(_) => return Ok(()),
                CasOutcome::Conflict(present) => {
                    expected = present.first().map_or(StoreRevision(0), |v| v.revision);
                }
            }
        }
    }

    /// Returns whether nobody is known to be the manager.
    fn is_vacant(&self) -> bool {
        let core = self.shared.core.borrow();
        let is_known = core.manager.is_some() || self.shared.is_manager.get();
        core.snapshot_loaded && !is_known
    }

    /// Waits until the role becomes vacant or is taken, compared with the last look at it.
    async fn wait_for_vacancy(&self) {
        let was_vacant = self.candidacy.borrow().turn().is_some();
        while self.is_vacant() == was_vacant {
            self.shared.state_changed.notified().await;
        }
    }

    /// Gives up the manager role if another entry host is known to hold it.
    fn step_down_if_replaced(&self) {
        let core = self.shared.core.borrow();
        let other = core
            .manager
            .as_ref()
            .is_some_and(|(name, _)| **name != *self.shared.cfg.name);
        if self.shared.is_manager.get() && other {
            self.manager_lease.set(None);
            self.elected.send_replace(None);
            self.shared.is_manager.set(false);
        }
    }

    /// Gives up the manager role while this entry host reaches no backend server: its orders
    /// would not arrive, and all members of groups would look dead to it.
    async fn step_down_if_cut_off(&self) {
        if !self.shared.is_manager.get() || !self.shared.is_cut_off() {
            return;
        }
        log::warn!("giving up the manager role for want of a path to the backend servers");
        self.elected.send_replace(None);
        self.shared.is_manager.set(false);
        let Some(lease) = self.manager_lease.take() else {
            return;
        };
        if let Err(e) = self.store.revoke_lease(lease).await {
            // The lease is not renewed any more and expires.
            log::warn!("failed to revoke the lease of the manager role: {e}");
        }
    }

    /// Becomes manager if there is none and it is this entry host's turn.
    async fn try_become_manager(&self) {
        let cfg = &self.shared.cfg;
        let rank = self.peers.candidacy_rank(&cfg.name, cfg.processor_share);
        let now = self.shared.now();
        self.candidacy
            .borrow_mut()
            .observe(self.is_vacant(), rank, now);
        if !self.candidacy.borrow().is_due(now) {
            return;
        }
        if !self.shared.is_cut_off() {
            self.stand().await;
        }
        let mut candidacy = self.candidacy.borrow_mut();
        candidacy.record_attempt(self.is_vacant(), rank, self.shared.now());
    }

    /// Stands for the role of the manager.
    async fn stand(&self) {
        let lease_time = self.lease_time(MANAGER_LEASE);
        let lease = match self.store.grant_lease(lease_time).await {
            Ok(lease) => lease,
            Err(e) => {
                log::warn!("failed to get a lease for the manager role: {e}");
                return;
            }
        };
        match self.begin_term(lease).await {
            Ok(Some(term)) => {
                log::info!(first_epoch = term.first_epoch; "this entry host is now the manager of the groups");
                self.manager_lease.set(Some(lease));
                self.shared.is_manager.set(true);
                self.elected.send_replace(Some(term));
            }
            Ok(None) => {}
            Err(e) => log::warn!("candidacy as manager failed: {e}"),
        }
    }

    /// Takes the manager role for the time of a lease and records the term, both or neither;
    /// returns `None` if another entry host has the role.
    async fn begin_term(&self, lease: LeaseId) -> Result<Option<ManagerTerm>, StoreError> {
        let manager_key = self.shared.dialect.internal_key(MANAGER_KEY);
        let term_key = self.shared.dialect.internal_key(TERM_KEY);
        loop {
            let last = self.stored_term.get();
            let term = ManagerTerm::after(last.record, self.shared.now());
            let manager = Swap {
                key: manager_key.clone(),
                expected: StoreRevision(0),
                value: Some(self.registration_value()),
                lease: Some(lease),
            };
            let record = Swap {
                key: term_key.clone(),
                expected: last.revision,
                value: Some(term.record().to_bytes()),
                lease: None,
            };
            let present = match self.store.transact(vec![manager, record]).await? {
                CasOutcome::Applied(_) => return Ok(Some(term)),
                CasOutcome::Conflict(present) => present,
            };
            let stored = present.iter().find(|v| v.key == term_key);
            let stored = stored.map_or(StoredTerm::ABSENT, StoredTerm::read);
            self.stored_term.set(stored);
            let is_taken = present.iter().any(|v| v.key == manager_key);
            if is_taken || stored == last {
                return Ok(None);
            }
        }
    }
}
