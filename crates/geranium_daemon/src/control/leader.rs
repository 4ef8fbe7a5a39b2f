//! Leadership of a failure domain, by a lease.
//!
//! The lease only says who should try: every effect of a leader is guarded by
//! compare-and-swap and by fencing numbers.

use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::{FailureDomainId, StoreRevision};
use geranium_platform::{CasOutcome, KvStore, LeaseId, StoreError, Swap};
use geranium_telemetry::ProcessIdentity;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::ControlInput;
use super::mirror::retry_pause;

/// Prefix of the leaders' keys.
const LEADER_PREFIX: &str = "/geranium/leaders/";

/// Time after which the lease of a silent leader ends.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Time between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two looks at a lease that another process holds.
const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the key that the leader of a failure domain holds.
#[must_use]
pub fn leader_key(failure_domain: &FailureDomainId) -> String {
    format!("{LEADER_PREFIX}{failure_domain}")
}

/// Tries to lead a failure domain for as long as the process runs.
pub struct LeaderCampaign<S> {
    store: S,
    identity: ProcessIdentity,
    tx: mpsc::Sender<ControlInput>,
    shutdown: CancellationToken,
}

impl<S: KvStore> LeaderCampaign<S> {
    /// Makes a campaign.
    pub fn new(
        store: S,
        identity: ProcessIdentity,
        tx: mpsc::Sender<ControlInput>,
        shutdown: CancellationToken,
    ) -> Self {
        Self { store, identity, tx, shutdown }
    }

    /// Campaigns until the shutdown, then gives the lease back.
    pub async fn run(self) {
        while !self.shutdown.is_cancelled() {
            match self.campaign().await {
                Ok(Some(lease)) => self.lead(lease).await,
                Ok(None) => self.pause(CAMPAIGN_INTERVAL).await,
                Err(e) => {
                    log::debug!("campaign failed: {e}");
                    self.pause(retry_pause()).await;
                }
            }
        }
    }

    /// Takes the leader's key if nobody holds it.
    async fn campaign(&self) -> Result<Option<LeaseId>, StoreError> {
        let key = leader_key(&self.identity.failure_domain);
        if self.store.get(&key).await?.is_some() {
            return Ok(None);
        }
        let lease = self.store.grant_lease(LEASE_TTL).await?;
        let value = serde_json::to_vec(&self.identity).unwrap_or_default();
        let swap = Swap {
            key,
            expected: StoreRevision::default(),
            value: Some(Bytes::from(value)),
            lease: Some(lease),
        };
        match self.store.transact(vec![swap]).await {
            Ok(CasOutcome::Applied(_)) => Ok(Some(lease)),
            Ok(CasOutcome::Conflict(_)) => {
                self.store.revoke_lease(lease).await?;
                Ok(None)
            }
            // If the write took effect all the same, the key ends with its lease.
            Err(e) => {
                let _ = self.store.revoke_lease(lease).await;
                Err(e)
            }
        }
    }

    /// Renews the lease until it is lost or the process shuts down.
    async fn lead(&self, lease: LeaseId) {
        self.tell(true).await;
        loop {
            self.pause(RENEW_INTERVAL).await;
            if self.shutdown.is_cancelled() {
                let _ = self.store.revoke_lease(lease).await;
                break;
            }
            match self.store.keep_alive(lease).await {
                Err(StoreError::LeaseNotFound(_)) => break,
                // Nobody else can lead either while the store is out of reach.
                Ok(_) | Err(_) => {}
            }
        }
        self.tell(false).await;
    }

    async fn tell(&self, leading: bool) {
        let _ = self.tx.send(ControlInput::Leadership(leading)).await;
    }

    async fn pause(&self, time: Duration) {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = self.shutdown.cancelled() => {}
        }
    }
}
