//! Simulation of entry hosts, a store and a network in virtual time.

// An example includes this file by path, so the submodules need explicit paths.
#[path = "fleet/effects.rs"]
mod effects;
#[path = "fleet/network.rs"]
mod network;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::event::{EventDraft, EventKind};
use geranium_core::id::{FailureDomainId, HostId, Incarnation, RecordName, StoreRevision};
use geranium_core::limit::CrashDigest;
use geranium_core::member::{
    Heartbeat, MemberConfig, MemberEffect, MemberInfo, MemberTiming, Membership, watchers,
};
use geranium_core::record::replication::{
    ConfigEffect, ConfigReplica, PullAnswer, ReplicationTiming, StoreChange, StoreRead,
    WriteBackOutcome,
};
use geranium_core::record::{
    ApplyError, ApplyPlan, ApplyRequest, Document, Expectation, KnownTopology, RecordIndex,
    RecordKey, RecordKind, StoredRecord, WriterId,
};
use geranium_core::time::{HybridClock, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::store::Store;

const TICK: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const STORE_LATENCY: Duration = Duration::from_millis(3);

/// One entry host with its membership and its configuration replica.
pub struct EntryHost {
    pub info: MemberInfo,
    pub membership: Membership,
    pub replica: ConfigReplica,
    clock: HybridClock,
    is_paused: bool,
    waiting: Vec<Message>,
    watch: Option<u64>,
}

/// Number of messages and writes sent, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub heartbeats: u64,
    pub pulls: u64,
    pub pushed_records: u64,
    pub write_backs: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Tick,
    Heartbeat(SocketAddr, Box<Heartbeat>),
    Answer(Box<Heartbeat>),
    HeartbeatFailed(SocketAddr),
    Pull(MemberInfo, RecordIndex),
    PullAnswer(MemberInfo, PullAnswer),
    PullFailed(MemberInfo),
    Push(MemberInfo, Vec<StoredRecord>),
    Read(Option<StoreRead>),
    Watch(u64, Vec<StoreChange>),
    WatchFailed(u64),
    WriteBack(StoredRecord, WriteBackOutcome),
}

/// Simulation of entry hosts, a store and a network in virtual time.
pub struct Fleet {
    pub now: Timestamp,
    pub hosts: BTreeMap<SocketAddr, EntryHost>,
    pub store: Store,
    pub counts: Counts,
    pub events: Vec<(Timestamp, HostId, EventDraft)>,
    pub crashes: Vec<(HostId, CrashDigest)>,
    /// Latency of a message between hosts.
    pub latency: Duration,
    /// Loss of messages between hosts, per thousand messages.
    pub lost_per_mille: u32,
    /// Hosts whose watch neither reports changes nor fails.
    pub stalled_watches: BTreeSet<HostId>,
    rng: SmallRng,
    cut_from_store: BTreeSet<HostId>,
    cut_domains: BTreeSet<FailureDomainId>,
    queue: BTreeMap<(Timestamp, u64), (SocketAddr, Message)>,
    sequence: u64,
    incarnation: u64,
}

impl Fleet {
    /// Starts hosts in each failure domain, each seeded with one host of every domain.
    pub fn start(domains: usize, hosts_per_domain: usize) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000_000),
            hosts: BTreeMap::new(),
            store: Store::default(),
            counts: Counts::default(),
            events: Vec::new(),
            crashes: Vec::new(),
            latency: Duration::from_millis(1),
            lost_per_mille: 0,
            stalled_watches: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(1),
            cut_from_store: BTreeSet::new(),
            cut_domains: BTreeSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            incarnation: 0,
        };
        let seeds: Vec<SocketAddr> = (0..domains).map(|d| address(d, 0)).collect();
        for domain in 0..domains {
            for host in 0..hosts_per_domain {
                fleet.start_host(domain, host, &seeds);
            }
        }
        fleet
    }

    /// Starts one host, or replaces it with a new incarnation without any state.
    pub fn start_host(&mut self, domain: usize, host: usize, seeds: &[SocketAddr]) {
        self.incarnation += 1;
        let info = MemberInfo {
            host: host_id(domain, host),
            failure_domain: domain_id(domain),
            incarnation: Incarnation(self.incarnation),
            peer_address: address(domain, host),
            caller_address: address(domain, host + 1_000),
            leaving: false,
        };
        let config = MemberConfig {
            local: info.clone(),
            seeds: seeds.to_vec(),
            timing: MemberTiming::default(),
        };
        let domain_id = info.failure_domain.clone();
        let timing = ReplicationTiming::default();
        let entry_host = EntryHost {
            membership: Membership::new(config, self.now),
            replica: ConfigReplica::new(domain_id, timing, self.incarnation, self.now),
            clock: HybridClock::default(),
            is_paused: false,
            waiting: Vec::new(),
            watch: None,
            info,
        };
        let at = address(domain, host);
        self.queue.retain(|_, (to, _)| *to != at);
        self.hosts.insert(at, entry_host);
        let phase = Duration::from_millis(self.incarnation * 7 % 100);
        self.send(at, phase, Message::Tick);
    }

    /// Kills a host without notice to its peers.
    pub fn kill(&mut self, domain: usize, host: usize) {
        let at = address(domain, host);
        self.hosts.remove(&at);
        self.queue.retain(|_, (to, _)| *to != at);
    }

    pub fn host(&self, domain: usize, host: usize) -> &EntryHost {
        &self.hosts[&address(domain, host)]
    }

    pub fn host_mut(&mut self, domain: usize, host: usize) -> &mut EntryHost {
        self.hosts
            .get_mut(&address(domain, host))
            .expect("host was started")
    }

    /// Pauses the process of a host; messages to it are queued.
    pub fn pause(&mut self, domain: usize, host: usize) {
        self.host_mut(domain, host).is_paused = true;
    }

    /// Resumes a paused process; its timer fires before it receives queued messages.
    pub fn resume(&mut self, domain: usize, host: usize) {
        let host = self.host_mut(domain, host);
        host.is_paused = false;
        let waiting = std::mem::take(&mut host.waiting);
        let at = host.info.peer_address;
        self.send(at, Duration::ZERO, Message::Tick);
        let others = waiting.into_iter().filter(|m| !matches!(m, Message::Tick));
        for message in others {
            self.send(at, self.latency, message);
        }
    }

    /// Cuts one host off from the store, or reconnects it.
    pub fn cut_host_from_store(&mut self, domain: usize, host: usize, is_cut: bool) {
        let id = host_id(domain, host);
        if is_cut {
            self.cut_from_store.insert(id);
            self.fail_watches();
        } else {
            self.cut_from_store.remove(&id);
        }
    }

    /// Takes the store down, or brings it up again.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        self.fail_watches();
    }

    /// Partitions a failure domain from the others, or reconnects it.
    pub fn cut_domain(&mut self, domain: usize, is_cut: bool) {
        if is_cut {
            self.cut_domains.insert(domain_id(domain));
        } else {
            self.cut_domains.remove(&domain_id(domain));
        }
    }

    /// Applies an operator's change through one host.
    pub fn apply(&mut self, domain: usize, host: usize, value: Value) -> StoredRecord {
        self.apply_with(domain, host, value, true)
    }

    /// Returns whether an operator can make a change through a host.
    pub fn can_apply(&self, domain: usize, host: usize) -> bool {
        let at = address(domain, host);
        !self.hosts[&at].is_paused && self.reaches_store(at)
    }

    /// Plans an operator's change, based on what a host reads from the store now.
    pub fn plan(
        &mut self,
        domain: usize,
        host: usize,
        value: Value,
        expected: Expectation,
    ) -> Result<ApplyPlan, ApplyError> {
        let document = Document::from_value(value).expect("document is valid");
        let current = self.store.current(document.key());
        self.sequence += 1;
        let by = WriterId {
            incarnation: Incarnation(u64::MAX),
            sequence: self.sequence,
        };
        let request = ApplyRequest::put(document, expected, "ana", by);
        let records = self.host(domain, host).replica.records().clone();
        self.store.calls += 1;
        ApplyPlan::new(
            &request,
            &current,
            &records,
            &KnownTopology::default(),
            self.now,
        )
    }

    /// Executes a plan through one host; returns whether the store accepted it.
    pub fn execute(&mut self, domain: usize, host: usize, plan: &ApplyPlan) -> bool {
        self.store.calls += 1;
        let Some(revision) = self.write(&plan.record, plan.expected) else {
            return false;
        };
        let now = self.now;
        let host = self.host_mut(domain, host);
        let effects = host
            .replica
            .handle_own_write(plan.record.clone(), revision, now);
        let at = host.info.peer_address;
        self.run_config_effects(at, effects);
        true
    }

    /// Writes an operator's change; the host receives the answer of the store only if
    /// `is_answered`.
    pub fn apply_with(
        &mut self,
        domain: usize,
        host: usize,
        value: Value,
        is_answered: bool,
    ) -> StoredRecord {
        let plan = self
            .plan(domain, host, value, Expectation::Any)
            .expect("change can be planned");
        if is_answered {
            assert!(self.execute(domain, host, &plan), "no concurrent writer");
        } else {
            self.store.calls += 1;
            self.write(&plan.record, plan.expected)
                .expect("no concurrent writer");
        }
        plan.record
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Runs until a condition holds; returns the elapsed time.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within `limit`.
    pub fn run_while(&mut self, limit: Duration, is_done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        let done = self.run_until(start + limit, is_done);
        assert!(done, "condition does not hold within {limit:?}");
        self.now.since(start)
    }

    fn run_until(&mut self, end: Timestamp, is_done: impl Fn(&Self) -> bool) -> bool {
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > end {
                break;
            }
            let ((at, _), (to, message)) = self.queue.pop_first().expect("queue is not empty");
            self.now = self.now.max(at);
            self.deliver(to, message);
            if is_done(self) {
                return true;
            }
        }
        self.now = end;
        is_done(self)
    }

    /// Returns whether every host holds the given version of a record or a newer one.
    pub fn is_everywhere(&self, record: &StoredRecord) -> bool {
        let holds = |host: &EntryHost| {
            let entry = host.replica.records().get(&record.key);
            entry.is_some_and(|e| e.stored.rank() >= record.rank())
        };
        self.hosts.values().all(holds)
    }

    pub fn domains(&self) -> usize {
        let domains = self.hosts.values().map(|h| &h.info.failure_domain);
        domains.collect::<BTreeSet<_>>().len()
    }

    pub fn count_events(&self, kind: EventKind) -> usize {
        self.events
            .iter()
            .filter(|(_, _, e)| e.kind == kind)
            .count()
    }
}

pub fn address(domain: usize, host: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + domain * 100 + host % 1_000).expect("port is in range");
    let net = u8::try_from(host / 1_000).expect("network number is in range");
    SocketAddr::from(([127, 0, net, 1], port))
}

pub fn host_id(domain: usize, host: usize) -> HostId {
    HostId::new(format!("d{domain}-e{host}"))
}

pub fn domain_id(domain: usize) -> FailureDomainId {
    FailureDomainId::new(format!("d{domain}"))
}

/// Returns a drain document whose target depends on `version`.
pub fn drain(name: &str, version: usize) -> Value {
    json!({
        "schema_version": 2, "kind": "drain", "name": name,
        "target": {"host": format!("worker-{version}")}, "reason": "test"
    })
}

pub fn drain_key(name: &str) -> RecordKey {
    RecordKey::new(RecordKind::Drain, RecordName::new(name))
}
