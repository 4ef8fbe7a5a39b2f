//! What the parts of the process share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use geranium_core::event::EventDraft;
use geranium_core::group::GroupState;
use geranium_core::id::{FencingNumber, GroupId, HostId};
use geranium_core::limit::CrashDigest;
use geranium_core::once::{ClaimHolder, HolderStatus};
use geranium_core::record::{RecordKey, StoredRecord, WriterId};
use geranium_core::time::Timestamp;
use geranium_engine::{HttpEngineClient, ServiceClient};
use geranium_net::HttpClient;
use geranium_operator::{HostView, InForceView};
use geranium_platform::EtcdClient;
use geranium_telemetry::EventRecorder;
use tokio::sync::mpsc;

use crate::claim::{ClaimService, HolderDirectory};
use crate::clock::ProcessClock;
use crate::control::{ControlInput, Published};
use crate::metrics::{Metrics, ReasonLabel};
use crate::settings::DaemonSettings;
use crate::traffic::Traffic;

/// The platform's service as this process reaches it.
pub type Store = EtcdClient;

/// Claimed calls of this process.
pub type Claims = ClaimService<Store, Holders>;

/// What the parts of the process share.
pub struct Node {
    /// Checked settings.
    pub settings: DaemonSettings,
    /// The clock.
    pub clock: ProcessClock,
    /// Recorder of events.
    pub recorder: Arc<EventRecorder>,
    /// Metrics.
    pub metrics: Metrics,
    /// The platform's service.
    pub store: Store,
    /// Model engines.
    pub engines: HttpEngineClient,
    /// Plain services.
    pub services: ServiceClient,
    /// Other entry hosts' caller listeners.
    pub http: HttpClient,
    /// Latest state of control.
    pub published: Arc<Published>,
    /// Routing and limits.
    pub traffic: Traffic,
    /// Claimed calls.
    pub claims: Arc<Claims>,
    /// Input of the control task.
    pub control: mpsc::Sender<ControlInput>,
    pub(crate) stopping: AtomicBool,
    pub(crate) next_write: AtomicU64,
}

impl Node {
    /// Returns whether the process takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && !self.published.view().records.is_empty()
    }

    /// Notes that the process is about to stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the process is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the number of entry hosts that share this failure domain's groups.
    #[must_use]
    pub fn entry_hosts(&self) -> u32 {
        1
    }

    /// Returns the caller listener of another entry host.
    #[must_use]
    pub fn caller_address(&self, _host: &HostId) -> Option<SocketAddr> {
        None
    }

    /// Tells peers which requests were in flight when a group crashed.
    pub fn tell_peers_of_crash(&self, _digest: &CrashDigest) {}

    /// Returns whether a group lost a member since a request was sent to it.
    ///
    /// A group that was drained or is dissolving goes on with what it has.
    #[must_use]
    pub fn is_broken(&self, group: &GroupId, fencing: FencingNumber) -> bool {
        let view = self.published.view();
        let known = view
            .table
            .as_ref()
            .and_then(|table| table.groups().get(group));
        let Some(known) = known.filter(|known| known.fencing == fencing) else {
            return true;
        };
        let open = view.serving.iter().any(|serving| serving.group == *group);
        let drained = view.records.drained();
        let leaving = known.state == GroupState::Dissolving
            || drained
                .failure_domains
                .contains(&self.settings.failure_domain)
            || known
                .members
                .iter()
                .any(|member| drained.hosts.contains(&member.host));
        !open && !leaving
    }

    /// Records an event.
    pub fn record(&self, draft: EventDraft) {
        self.recorder.record(self.clock.now(), draft);
    }

    /// Returns an identifier for a write of this process.
    #[must_use]
    pub fn next_writer(&self) -> WriterId {
        WriterId {
            incarnation: self.recorder.identity().incarnation,
            sequence: self.next_write.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Offers an accepted record to the control task, ahead of the store's watch.
    pub fn offer_record(&self, record: StoredRecord) {
        // A full queue only means that the watch brings the record instead.
        let _ = self.control.try_send(ControlInput::Records(vec![record]));
    }

    /// Tells on which entry hosts a generation of a record is in force.
    pub async fn in_force(&self, key: &RecordKey, generation: u64) -> Vec<InForceView> {
        let identity = self.recorder.identity();
        let view = self.published.view();
        vec![InForceView {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            in_force: view.records.generation(key).0 >= generation,
            heard_ms_ago: 0,
        }]
    }

    /// Lists the known entry hosts.
    #[must_use]
    pub fn host_views(&self, _now: Timestamp) -> Vec<HostView> {
        let identity = self.recorder.identity();
        vec![HostView {
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
        }]
    }

    /// Returns the calls to the platform's service and the failed ones.
    #[must_use]
    pub fn store_calls(&self) -> (u64, u64) {
        self.store.counter().totals()
    }

    /// Brings gauges up to date before they are read.
    pub fn refresh_metrics(&self) {
        let view = self.published.view();
        let (calls, failures) = self.store_calls();
        self.metrics.store_calls.set(calls.cast_signed());
        self.metrics.store_failures.set(failures.cast_signed());
        self.metrics
            .events_dropped
            .set(self.recorder.dropped().cast_signed());
        self.metrics.records.set(view.records.len() as i64);
        self.metrics.groups_open.set(view.serving.len() as i64);
        self.metrics
            .groups_closed
            .set(view.closed_because.len() as i64);
        self.metrics.leading.set(i64::from(view.leading));
        self.metrics
            .store_reachable
            .set(i64::from(view.store_reachable));
        let accelerators = crate::operator::accelerators(self, &view);
        self.metrics.accelerators.clear();
        self.set_accelerators("serving", accelerators.serving);
        for (reason, count) in accelerators.stranded {
            self.set_accelerators(&reason, count);
        }
    }

    fn set_accelerators(&self, reason: &str, count: u32) {
        let label = ReasonLabel {
            reason: reason.to_owned(),
        };
        self.metrics
            .accelerators
            .get_or_create(&label)
            .set(i64::from(count));
    }
}

/// Looks up holders of claims in the membership.
pub struct Holders {
    /// Recorder, for the identity of this process.
    pub recorder: Arc<EventRecorder>,
}

impl HolderDirectory for Holders {
    fn status(&self, _now: Timestamp, holder: &ClaimHolder) -> HolderStatus {
        let identity = self.recorder.identity();
        if holder.host == identity.host && holder.incarnation == identity.incarnation {
            HolderStatus::Live
        } else {
            HolderStatus::Gone
        }
    }
}
