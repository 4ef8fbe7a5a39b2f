//! State that the modules of the daemon share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use futures::future::join_all;
use geranium_core::collections::HashMap;
use geranium_core::event::EventDraft;
use geranium_core::group::GroupState;
use geranium_core::id::{FencingNumber, GroupId, HostId, Incarnation, StoreRevision};
use geranium_core::limit::CrashDigest;
use geranium_core::member::MemberInfo;
use geranium_core::record::{RecordKey, StoredRecord, WriterId};
use geranium_core::time::Timestamp;
use geranium_engine::{HttpEngineClient, ServiceClient};
use geranium_net::{HttpClient, ResponseMemory};
use geranium_operator::{HostView, InForceView};
use geranium_peer::{PeerClient, PeerCommand, PeerReply};
use geranium_platform::EtcdClient;
use geranium_telemetry::EventRecorder;
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc};

use crate::claim::{ClaimService, MembershipDirectory};
use crate::control::{ControlInput, PublishedControl};
use crate::metrics::Metrics;
use crate::peers::{PeerInput, PublishedPeers};
use crate::settings::DaemonSettings;
use crate::traffic::Traffic;
use geranium_telemetry::ProcessClock;

/// Client of the platform's key-value service.
pub type Store = EtcdClient;

/// Service that runs the claimed calls of this process.
pub type Claims = ClaimService<Store, MembershipDirectory>;

/// State that the modules of the daemon share.
pub struct Node {
    /// Validated settings.
    pub settings: DaemonSettings,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Event recorder.
    pub recorder: Arc<EventRecorder>,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the platform's key-value service.
    pub store: Store,
    /// Client of the model engines.
    pub engines: HttpEngineClient,
    /// Client of services that are not model engines.
    pub services: ServiceClient,
    /// HTTP client that forwards requests to the caller listeners of other entry hosts.
    pub http: HttpClient,
    /// Memory for all answers of backend servers that callers have not taken yet.
    pub response_memory: ResponseMemory,
    /// Latest state published by the control task.
    pub published: Arc<PublishedControl>,
    /// Routing and limits of requests.
    pub traffic: Traffic,
    /// Claimed calls, which run at most once.
    pub claims: Arc<Claims>,
    /// Sends inputs to the control task.
    pub control: mpsc::Sender<ControlInput>,
    /// Latest view of the other entry hosts and the groups that they serve.
    pub peers: Arc<PublishedPeers>,
    /// RPC client for other entry hosts.
    pub peer_client: PeerClient,
    /// Sends inputs to the peer task.
    pub peer_tx: mpsc::Sender<PeerInput>,
    /// Notified when this process must give up the leadership.
    pub yield_leadership: Notify,
    pub(crate) leader: RwLock<Option<HostId>>,
    pub(crate) operator_addresses: Mutex<HashMap<(HostId, Incarnation), SocketAddr>>,
    pub(crate) stopping: AtomicBool,
    pub(crate) next_write_sequence: AtomicU64,
}

impl Node {
    /// Returns whether the process accepts requests: it has records and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && !self.published.view().records.is_empty()
    }

    /// Marks the process as shutting down.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the address of the caller listener of another entry host.
    #[must_use]
    pub fn caller_address(&self, host: &HostId) -> Option<SocketAddr> {
        let peers = self.peers.view();
        peers.hosts.get(host).map(|known| known.info.caller_address)
    }

    /// Sends the digest of crashing requests to every peer that is alive, and waits until each
    /// call is answered or has failed.
    pub async fn broadcast_crashes(&self, digest: &CrashDigest) {
        let _ = self
            .peer_tx
            .send(PeerInput::Crashes(Box::new(digest.clone())))
            .await;
        let peers = self.peers.view();
        let alive = peers.hosts.values().filter(|known| known.state == "alive");
        let sends = alive.map(|known| {
            let command = PeerCommand::Crashes(digest.clone());
            self.peer_client.command(known.info.peer_address, command)
        });
        join_all(sends).await;
    }

    /// Returns whether a group has lost a member since a request was sent to it.
    ///
    /// A group that is drained or dissolving counts as whole, because it completes its running
    /// requests.
    #[must_use]
    pub fn has_lost_member(&self, group: &GroupId, fencing: FencingNumber) -> bool {
        let view = self.published.view();
        let known = view.group(group);
        let Some(known) = known.filter(|known| known.fencing == fencing) else {
            return true;
        };
        let drained = view.records.drained();
        let leaving = known.state == GroupState::Dissolving
            || drained
                .failure_domains
                .contains(&self.settings.failure_domain)
            || known
                .members
                .iter()
                .any(|member| drained.hosts.contains(&member.host));
        !leaving && !view.is_open(group)
    }

    /// Records an event.
    pub fn record(&self, draft: EventDraft) {
        self.recorder.record(self.clock.now(), draft);
    }

    /// Returns a new identifier for a write of this process.
    #[must_use]
    pub fn next_writer_id(&self) -> WriterId {
        WriterId {
            incarnation: self.recorder.identity().incarnation,
            sequence: self.next_write_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Sends an accepted record to the peer task, so that it need not wait for the store's watch.
    pub async fn send_accepted_record(&self, record: StoredRecord, revision: StoreRevision) {
        let _ = self
            .peer_tx
            .send(PeerInput::Accepted(Box::new(record), revision))
            .await;
    }

    /// Returns for each known entry host whether a generation of a record is in force there.
    pub async fn in_force(&self, key: &RecordKey, generation: u64) -> Vec<InForceView> {
        let now = self.clock.now();
        let identity = self.recorder.identity();
        let local_generation = self.published.view().records.generation(key).0;
        let mut views = vec![InForceView {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            in_force: local_generation >= generation,
            heard_ms_ago: 0,
        }];
        let peers = self.peers.view();
        let queries = peers.hosts.values().map(|known| async move {
            let keys = vec![key.clone()];
            let answer = self
                .peer_client
                .in_force(known.info.peer_address, keys)
                .await;
            let rank = answer.ok().and_then(|index| index.0.get(key).copied());
            InForceView {
                host: known.info.host.clone(),
                failure_domain: known.info.failure_domain.clone(),
                in_force: rank.is_some_and(|rank| rank.generation.0 >= generation),
                heard_ms_ago: millis_between(known.heard_at, now),
            }
        });
        views.extend(join_all(queries).await);
        views
    }

    /// Returns the known entry hosts, starting with this one.
    pub async fn host_views(&self) -> Vec<HostView> {
        let now = self.clock.now();
        let identity = self.recorder.identity();
        let mut views = vec![HostView {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            operator_address: Some(self.settings.operator_address),
            state: if self.is_stopping() {
                "leaving"
            } else {
                "alive"
            }
            .to_owned(),
            heard_ms_ago: 0,
            same_records: true,
        }];
        let peers = self.peers.view();
        let queries = peers.hosts.values().map(|known| async {
            HostView {
                host: known.info.host.clone(),
                failure_domain: known.info.failure_domain.clone(),
                operator_address: self.operator_address(&known.info).await,
                state: known.state.to_owned(),
                heard_ms_ago: millis_between(known.heard_at, now),
                same_records: known.digest == peers.digest,
            }
        });
        views.extend(join_all(queries).await);
        views
    }

    /// Returns the address of another entry host's operator interface.
    ///
    /// The address is queried once per incarnation and then cached.
    async fn operator_address(&self, info: &MemberInfo) -> Option<SocketAddr> {
        let key = (info.host.clone(), info.incarnation);
        if let Some(known) = self.operator_addresses.lock().get(&key) {
            return Some(*known);
        }
        let reply = self
            .peer_client
            .command(info.peer_address, PeerCommand::OperatorAddress);
        match reply.await {
            Ok(PeerReply::OperatorAddress(address)) => {
                self.operator_addresses.lock().insert(key, address);
                Some(address)
            }
            _ => None,
        }
    }

    /// Sets the host that leads the failure domain.
    pub fn set_leader(&self, leader: Option<HostId>) {
        *self.leader.write() = leader;
    }

    /// Returns the peer address of the leader, or `None` if this process leads or the leader is
    /// unknown.
    #[must_use]
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.leader.read().clone()?;
        let peers = self.peers.view();
        peers
            .hosts
            .get(&leader)
            .map(|known| known.info.peer_address)
    }

    /// Returns the peer addresses of the other entry hosts of the failure domain.
    #[must_use]
    pub fn domain_peers(&self) -> Vec<SocketAddr> {
        let peers = self.peers.view();
        let own = &self.settings.failure_domain;
        let known = peers
            .hosts
            .values()
            .filter(|known| known.info.failure_domain == *own);
        known.map(|known| known.info.peer_address).collect()
    }

    /// Sends a command to every peer of the failure domain without waiting for the answers.
    pub fn broadcast_to_domain(&self, command: &PeerCommand) {
        for to in self.domain_peers() {
            let (client, command) = (self.peer_client.clone(), command.clone());
            tokio::spawn(async move {
                if let Err(e) = client.command(to, command).await {
                    log::debug!("command failed: {e}");
                }
            });
        }
    }

    /// Returns the number of calls to the platform's service and how many of them failed.
    #[must_use]
    pub fn store_calls(&self) -> (u64, u64) {
        self.store.counter().totals()
    }
}

/// Returns the milliseconds between two times.
#[must_use]
pub fn millis_between(earlier: Timestamp, now: Timestamp) -> u64 {
    u64::try_from(now.since(earlier).as_millis()).unwrap_or(u64::MAX)
}
