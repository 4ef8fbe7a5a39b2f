//! Leader election of a failure domain by a lease.
//!
//! Safety does not depend on the lease: every effect of a leader is guarded by
//! compare-and-swap and by fencing numbers. The lease only selects who acts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::{FailureDomainId, StoreRevision};
use geranium_core::time::Timestamp;
use geranium_platform::{CasOutcome, KvStore, LeaseId, StoreError, Swap};
use geranium_telemetry::ProcessIdentity;
use tokio_util::sync::CancellationToken;

use super::ControlInput;
use super::store_watcher::retry_delay;
use crate::node::Node;

/// Prefix of the leader keys.
const LEADER_PREFIX: &str = "/geranium/leaders/";

/// Time after which the lease of an unresponsive leader expires.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// Interval between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between attempts to acquire a lease that another process holds.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the key that the leader of a failure domain holds.
#[must_use]
pub fn leader_key(failure_domain: &FailureDomainId) -> String {
    format!("{LEADER_PREFIX}{failure_domain}")
}

/// Delay before a former leader tries to acquire the lease again.
const REACQUIRE_DELAY: Duration = Duration::from_secs(3);

/// Margin by which the authority over cold credits and trials ends before the lease can expire.
const AUTHORITY_SAFETY_MARGIN: Duration = Duration::from_millis(500);

/// Takes part in the leader election of a failure domain until the process stops.
pub struct LeaderElection {
    node: Arc<Node>,
    shutdown: CancellationToken,
}

impl LeaderElection {
    /// Creates the election for this process.
    #[must_use]
    pub const fn new(node: Arc<Node>, shutdown: CancellationToken) -> Self {
        Self { node, shutdown }
    }

    /// Acquires and renews the lease until shutdown, then revokes it.
    pub async fn run(self) {
        while !self.shutdown.is_cancelled() {
            let outcome = self.try_acquire().await;
            self.send_input(ControlInput::StoreReachable(outcome.is_ok()))
                .await;
            match outcome {
                Ok(Some((lease, requested_at))) => self.hold_lease(lease, requested_at).await,
                Ok(None) => self.sleep(ACQUIRE_INTERVAL).await,
                Err(e) => {
                    log::debug!("cannot acquire the leader's lease: {e}");
                    self.sleep(retry_delay()).await;
                }
            }
        }
    }

    /// Acquires the leader key if no process holds it.
    async fn try_acquire(&self) -> Result<Option<(LeaseId, Timestamp)>, StoreError> {
        let store = &self.node.store;
        let identity = self.node.recorder.identity();
        let key = leader_key(&identity.failure_domain);
        if let Some(held) = store.get(&key).await? {
            self.record_leader(&held.value);
            return Ok(None);
        }
        let requested_at = self.node.clock.now();
        let lease = store.grant_lease(LEASE_TTL).await?;
        let value = serde_json::to_vec(identity).unwrap_or_default();
        let swap = Swap {
            key,
            expected: StoreRevision::default(),
            value: Some(Bytes::from(value)),
            lease: Some(lease),
        };
        match store.transact(vec![swap]).await {
            Ok(CasOutcome::Applied(_)) => Ok(Some((lease, requested_at))),
            Ok(CasOutcome::Conflict(_)) => {
                store.revoke_lease(lease).await?;
                Ok(None)
            }
            // If the write took effect despite the error, the key is deleted with its lease.
            Err(e) => {
                let _ = store.revoke_lease(lease).await;
                Err(e)
            }
        }
    }

    /// Renews the lease until it is lost or the process shuts down.
    async fn hold_lease(&self, lease: LeaseId, requested_at: Timestamp) {
        self.node.set_leader(Some(self.node.settings.host.clone()));
        self.send_input(ControlInput::Leadership(true)).await;
        self.extend_authority(requested_at);
        loop {
            let should_yield = tokio::select! {
                () = self.sleep(RENEW_INTERVAL) => false,
                () = self.node.yield_leadership.notified() => true,
            };
            if should_yield || self.shutdown.is_cancelled() {
                // Authority ends before the lease, so that no credits are being granted
                // when the next leader takes over.
                self.node.traffic.resign_cold_authority();
                let _ = self.node.store.revoke_lease(lease).await;
                break;
            }
            let requested_at = self.node.clock.now();
            let renewed = self.node.store.keep_alive(lease).await;
            match renewed {
                Ok(_) => {
                    self.extend_authority(requested_at);
                    self.send_input(ControlInput::StoreReachable(true)).await;
                }
                Err(StoreError::LeaseNotFound(_)) => break,
                // No other process can become the leader while the store is unreachable.
                Err(_) => self.send_input(ControlInput::StoreReachable(false)).await,
            }
        }
        self.node.traffic.resign_cold_authority();
        self.node.set_leader(None);
        self.send_input(ControlInput::Leadership(false)).await;
        // Other processes get the chance to acquire the lease first.
        self.sleep(REACQUIRE_DELAY).await;
    }

    fn extend_authority(&self, requested_at: Timestamp) {
        let until = requested_at + (LEASE_TTL - AUTHORITY_SAFETY_MARGIN);
        self.node
            .traffic
            .extend_cold_authority(self.node.clock.now(), until);
    }

    fn record_leader(&self, value: &[u8]) {
        match serde_json::from_slice::<ProcessIdentity>(value) {
            Ok(leader) => self.node.set_leader(Some(leader.host)),
            Err(e) => log::warn!("invalid value of the leader key: {e}"),
        }
    }

    async fn send_input(&self, input: ControlInput) {
        let _ = self.node.control.send(input).await;
    }

    async fn sleep(&self, duration: Duration) {
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            () = self.shutdown.cancelled() => {}
        }
    }
}
