//! Registration of entry hosts, and the election of the manager.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_platform::{CasOutcome, KvStore, LeaseId, StoreError, Swap};
use tokio::sync::watch;

use crate::dialect::Dialect;
use crate::follow::{ENTRY_PREFIX, EntryValue, MANAGER};
use crate::manager::manage;
use crate::peers::PeerLink;
use crate::state::{Phase, Shared};

/// Lease of the registration and of the manager's duty, at least.
const LEASE: Duration = Duration::from_millis(1_400);
/// Pause after a failed registration, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Renewals within one lease.
const RENEWALS: u32 = 4;
/// Pause of each entry host by its order in the list, so that not all try at once
/// to become manager.
const ELECTION_STEP: Duration = Duration::from_millis(30);

/// Keeps the registration, takes part in the election and manages groups while
/// elected, until the process leaves.
pub(crate) async fn run<D: Dialect, S: KvStore>(
    shared: Rc<Shared<D>>,
    store: S,
    peers: Rc<PeerLink>,
) {
    let lease_time = LEASE.max(shared.cfg.shortest_lease);
    let (tx, rx) = watch::channel(None);
    let managing = manage(shared.clone(), rx, peers);
    tokio::task::spawn_local(managing);
    let mut phase = shared.phase.subscribe();
    loop {
        if *phase.borrow_and_update() != Phase::Serving {
            return;
        }
        let member = Member {
            shared: shared.clone(),
            store: store.clone(),
            lease_time,
            elected: tx.clone(),
        };
        if let Err(e) = member.live(&mut phase).await {
            log::warn!("registration of this entry host failed: {e}");
        }
        tx.send_replace(None);
        shared.is_manager.set(false);
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
    }
}

/// One lease's worth of membership.
struct Member<D: Dialect, S: KvStore> {
    shared: Rc<Shared<D>>,
    store: S,
    lease_time: Duration,
    elected: watch::Sender<Option<Timestamp>>,
}

impl<D: Dialect, S: KvStore> Member<D, S> {
    /// Registers and renews the lease until it is lost or the process leaves.
    async fn live(&self, phase: &mut watch::Receiver<Phase>) -> Result<(), StoreError> {
        let lease = self.store.grant_lease(self.lease_time).await?;
        self.register(lease).await?;
        loop {
            self.stand(lease).await;
            tokio::select! {
                () = tokio::time::sleep(self.lease_time / RENEWALS) => {}
                () = self.wait_for_vacancy() => {
                    let pause = ELECTION_STEP * self.rank();
                    tokio::time::sleep(pause).await;
                    continue;
                }
                _ = phase.changed() => {
                    self.elected.send_replace(None);
                    return self.store.revoke_lease(lease).await;
                }
            }
            match self.store.keep_alive(lease).await {
                Ok(_) => {}
                Err(e @ StoreError::LeaseNotFound(_)) => return Err(e),
                // The duty goes on: where the store is away for all, nobody else can
                // take it, and orders name counts that keep two managers apart.
                Err(e) => log::warn!("lease was not renewed: {e}"),
            }
            self.yield_to_successor();
        }
    }

    fn entry_value(&self) -> Bytes {
        let entry = EntryValue {
            name: self.shared.cfg.name.to_string(),
            peers: self.shared.cfg.peers,
        };
        match serde_json::to_vec(&entry) {
            Ok(bytes) => Bytes::from(bytes),
            Err(e) => {
                log::error!("entry cannot be written: {e}");
                Bytes::new()
            }
        }
    }

    async fn register(&self, lease: LeaseId) -> Result<(), StoreError> {
        let name = format!("{ENTRY_PREFIX}{}", self.shared.cfg.name);
        let key = self.shared.dialect.own_key(&name);
        let mut expected = StoreRevision(0);
        loop {
            let swap = Swap {
                key: key.clone(),
                expected,
                value: Some(self.entry_value()),
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

    fn is_vacant(&self) -> bool {
        let core = self.shared.core.borrow();
        core.listed && core.manager.is_none()
    }

    async fn wait_for_vacancy(&self) {
        loop {
            self.shared.changed.notified().await;
            if self.is_vacant() {
                return;
            }
        }
    }

    /// Ends the duty if another entry host is known to have it.
    fn yield_to_successor(&self) {
        let core = self.shared.core.borrow();
        let other = core
            .manager
            .as_ref()
            .is_some_and(|(name, _)| **name != *self.shared.cfg.name);
        if self.shared.is_manager.get() && other {
            self.elected.send_replace(None);
            self.shared.is_manager.set(false);
        }
    }

    fn rank(&self) -> u32 {
        let core = self.shared.core.borrow();
        let before = core
            .entry_hosts
            .iter()
            .filter(|n| ***n < *self.shared.cfg.name);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Becomes manager if there is none.
    async fn stand(&self, lease: LeaseId) {
        if self.shared.is_manager.get() || !self.is_vacant() {
            return;
        }
        let swap = Swap {
            key: self.shared.dialect.own_key(MANAGER),
            expected: StoreRevision(0),
            value: Some(self.entry_value()),
            lease: Some(lease),
        };
        match self.store.transact(vec![swap]).await {
            Ok(CasOutcome::Applied(_)) => {
                log::info!("this entry host is the manager of the groups");
                self.shared.is_manager.set(true);
                self.elected.send_replace(Some(self.shared.now()));
            }
            Ok(CasOutcome::Conflict(_)) => {}
            Err(e) => log::warn!("candidacy as manager failed: {e}"),
        }
    }
}
