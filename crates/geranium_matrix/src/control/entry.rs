//! An entry host: the real decision code with a minimal driver.

mod effects;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geranium_core::engine::{EngineReport, HostEntry, HostState};
use geranium_core::group::{
    GroupConfig, GroupController, GroupGate, GroupInput, GroupTable, OutagePolicy, WriteOutcome,
};
use geranium_core::id::{FencingNumber, GroupId, HostId, Incarnation, StoreRevision};
use geranium_core::record::{DrainTarget, ModelSpec};
use geranium_core::time::Timestamp;

use super::message::{CallId, Message, Node};
use super::store::LEASE_TTL;
use super::{Fleet, Mutation};

const LEASE_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const PEER_INTERVAL: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const YIELD_TIME: Duration = Duration::from_millis(5_000);
const CALLS_LOST_IN_OUTAGE: u32 = 2;
const CALLS_PER_INCARNATION: u64 = 1_000_000;

/// Age that no report of a run reaches.
const NEVER: Duration = Duration::from_secs(3_600);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Read {
        read: u64,
    },
    Write {
        sequence: u64,
        expected: StoreRevision,
    },
    Lease,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: Call,
    sent_at: Timestamp,
}

/// An entry host: the real decision code with a minimal driver.
#[derive(Clone, Debug)]
pub struct EntryHost<P> {
    /// Whether the process runs.
    pub alive: bool,
    /// Until when the process is paused.
    pub paused_until: Option<Timestamp>,
    pub(super) outbox: Vec<(Node, Message)>,
    pub(super) amendments: Vec<GroupTable>,
    incarnation: Incarnation,
    position: usize,
    peers: usize,
    mutation: Option<Mutation>,
    controller: GroupController<P>,
    gate: GroupGate,
    engines: BTreeMap<HostId, usize>,
    lease_until: Option<Timestamp>,
    calls: BTreeMap<CallId, PendingCall>,
    polls: BTreeMap<CallId, (HostId, Timestamp)>,
    next_call: CallId,
    lost_calls: u32,
    store_reachable: bool,
    next_lease: Timestamp,
    next_poll: Timestamp,
    next_peers: Timestamp,
    sent: BTreeSet<(HostId, FencingNumber)>,
}

impl<P: OutagePolicy + Clone> EntryHost<P> {
    /// Starts a process that knows the list of hosts and nothing else.
    #[must_use]
    pub fn new(
        position: usize,
        incarnation: Incarnation,
        policy: P,
        fleet: &Fleet,
        mutation: Option<Mutation>,
    ) -> Self {
        let cfg = Fleet::config();
        let gate_cfg = GroupConfig {
            report_max_age: match mutation {
                Some(Mutation::GateIgnoresSilence) => NEVER,
                _ => cfg.report_max_age,
            },
            ..cfg.clone()
        };
        let domain = Fleet::failure_domain();
        let engines = fleet.hosts().into_iter().enumerate();
        Self {
            alive: true,
            paused_until: None,
            outbox: Vec::new(),
            amendments: Vec::new(),
            incarnation,
            position,
            peers: fleet.entry_hosts,
            mutation,
            controller: GroupController::with_policy(policy, cfg, domain.clone(), incarnation),
            gate: GroupGate::new(gate_cfg, domain),
            engines: engines.map(|(n, entry)| (entry.host, n)).collect(),
            lease_until: None,
            calls: BTreeMap::new(),
            polls: BTreeMap::new(),
            next_call: incarnation.0 * CALLS_PER_INCARNATION,
            lost_calls: 0,
            store_reachable: true,
            next_lease: Timestamp::default(),
            next_poll: Timestamp::default(),
            next_peers: Timestamp::default(),
            sent: BTreeSet::new(),
        }
    }

    /// Returns whether the process runs and is not paused.
    #[must_use]
    pub fn is_up(&self, now: Timestamp) -> bool {
        self.alive && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the number of the process's run.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the process holds itself for the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.controller.is_leader()
    }

    /// Returns the gate.
    #[must_use]
    pub fn gate(&self) -> &GroupGate {
        &self.gate
    }

    /// Returns the groups that take requests at a moment.
    #[must_use]
    pub fn open_groups(&self, now: Timestamp) -> Vec<GroupId> {
        let groups = self.gate.table().groups().keys();
        groups
            .filter(|id| self.gate.is_open(now, id))
            .cloned()
            .collect()
    }

    /// Takes the records in force.
    pub fn set_records(&mut self, now: Timestamp, models: &[ModelSpec], drained: &[DrainTarget]) {
        let gate_drained = match self.mutation {
            Some(Mutation::GateIgnoresDrain) => &[],
            _ => drained,
        };
        self.gate.set_records(models, gate_drained);
        self.input(now, GroupInput::RecordsChanged { models, drained });
    }

    /// Takes the platform's list of hosts.
    pub fn set_hosts(&mut self, now: Timestamp, hosts: &[HostEntry]) {
        let mut gate_hosts = hosts.to_vec();
        if self.mutation == Some(Mutation::GateIgnoresLeaving) {
            for entry in &mut gate_hosts {
                entry.state = HostState::Live;
            }
        }
        self.gate.set_hosts(&gate_hosts);
        self.input(now, GroupInput::HostsChanged(hosts));
    }

    /// Does what is due by the clock.
    pub fn tick(&mut self, now: Timestamp) {
        if self.lease_until.is_some_and(|until| now >= until) {
            self.lease_until = None;
            self.input(now, GroupInput::LeadershipLost);
        }
        self.expire_calls(now);
        if now >= self.next_lease {
            self.next_lease = now + LEASE_INTERVAL;
            let call = self.call(now, Call::Lease);
            self.outbox
                .push((Node::Store, Message::Lease(call, self.incarnation)));
        }
        if now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            self.poll_engines(now);
        }
        if now >= self.next_peers {
            self.next_peers = now + PEER_INTERVAL;
            self.publish(self.gate.table().as_ref().clone());
        }
        let mut events = Vec::new();
        self.gate.evaluate(now, &mut events);
        self.input(now, GroupInput::Tick);
    }

    /// Takes a message.
    pub(super) fn receive(&mut self, now: Timestamp, from: Node, message: Message) {
        match message {
            Message::Ask(hosts) => self.answer_peer(now, from, &hosts),
            Message::Heard(host, age) => {
                let host = &host;
                self.input(now, GroupInput::ReportSeenByPeer { host, age });
            }
            Message::Report(poll, report) => self.receive_report(now, poll, report),
            Message::OrderAnswer(order, outcome) => {
                let order = &order;
                self.input(now, GroupInput::OrderAnswered { order, outcome });
            }
            Message::ReadAnswer(call, table, revision) => {
                if let Some(Call::Read { read }) = self.answered(now, call) {
                    self.input(
                        now,
                        GroupInput::TableLoaded {
                            read,
                            table,
                            revision,
                        },
                    );
                }
            }
            Message::WriteAnswer(call, revision) => {
                if let Some(Call::Write { sequence, .. }) = self.answered(now, call) {
                    let outcome = match revision {
                        Some(revision) => WriteOutcome::Applied { revision },
                        None => WriteOutcome::Conflict,
                    };
                    self.input(now, GroupInput::TableWritten { sequence, outcome });
                }
            }
            Message::LeaseAnswer(call, granted) => self.receive_lease(now, call, granted),
            Message::Table(table) => self.receive_table(now, &table),
            Message::Poll(_)
            | Message::Order(_)
            | Message::Read(_)
            | Message::Write(..)
            | Message::Lease(..)
            | Message::Release(_) => {}
        }
    }

    fn receive_report(&mut self, now: Timestamp, poll: CallId, mut report: EngineReport) {
        let Some((_, requested_at)) = self.polls.remove(&poll) else {
            return;
        };
        if self.mutation == Some(Mutation::ReleaseWhileBusy) {
            report.running = 0;
        }
        let told = &report;
        self.input(
            now,
            GroupInput::Report {
                report: told,
                requested_at,
            },
        );
        if self.mutation == Some(Mutation::GateIgnoresLeaving) {
            report.leaving = false;
        }
        self.gate.observe(requested_at, &report);
    }

    fn receive_lease(&mut self, now: Timestamp, call: CallId, granted: bool) {
        let sent_at = self.calls.get(&call).map(|pending| pending.sent_at);
        let (Some(sent_at), Some(_)) = (sent_at, self.answered(now, call)) else {
            return;
        };
        if granted {
            let leads = self.lease_until.is_some();
            self.lease_until = Some(sent_at + LEASE_TTL);
            if !leads {
                self.input(now, GroupInput::LeadershipGained);
            }
        } else if self.lease_until.take().is_some() {
            self.input(now, GroupInput::LeadershipLost);
        }
    }

    fn receive_table(&mut self, now: Timestamp, table: &GroupTable) {
        if self.gate.set_table(table).is_ok() {
            self.input(now, GroupInput::PeerTable(table));
        }
    }

    fn poll_engines(&mut self, now: Timestamp) {
        for (host, _) in std::mem::take(&mut self.polls).into_values() {
            self.input(now, GroupInput::ReportMissed { host: &host });
        }
        for (host, engine) in self.engines.clone() {
            self.next_call += 1;
            self.polls.insert(self.next_call, (host, now));
            self.outbox
                .push((Node::Engine(engine), Message::Poll(self.next_call)));
        }
    }

    fn call(&mut self, now: Timestamp, call: Call) -> CallId {
        self.next_call += 1;
        self.calls
            .insert(self.next_call, PendingCall { call, sent_at: now });
        self.next_call
    }

    fn answered(&mut self, now: Timestamp, call: CallId) -> Option<Call> {
        let pending = self.calls.remove(&call)?;
        self.lost_calls = 0;
        if !self.store_reachable {
            self.store_reachable = true;
            self.input(now, GroupInput::StoreReachable);
        }
        Some(pending.call)
    }

    fn expire_calls(&mut self, now: Timestamp) {
        let expired: Vec<(CallId, Call)> = self
            .calls
            .iter()
            .filter(|(_, pending)| now.since(pending.sent_at) >= CALL_TIMEOUT)
            .map(|(&id, pending)| (id, pending.call))
            .collect();
        for (id, call) in expired {
            self.calls.remove(&id);
            self.lost_calls += 1;
            if let Call::Write { sequence, expected } = call {
                let outcome = self.outcome_of_lost_write(expected);
                self.input(now, GroupInput::TableWritten { sequence, outcome });
            }
        }
        if self.lost_calls >= CALLS_LOST_IN_OUTAGE && self.store_reachable {
            self.store_reachable = false;
            self.input(now, GroupInput::StoreUnreachable);
        }
    }

    fn outcome_of_lost_write(&self, expected: StoreRevision) -> WriteOutcome {
        if self.mutation == Some(Mutation::AmbiguousTakenForApplied) {
            let revision = expected.next();
            return WriteOutcome::Applied { revision };
        }
        WriteOutcome::Ambiguous
    }
}
