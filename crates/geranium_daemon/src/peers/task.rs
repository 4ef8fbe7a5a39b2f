//! Task that owns the membership and the records.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::member::{
    GroupSummary, Heartbeat, MemberConfig, MemberEffect, MemberInfo, MemberTiming, Membership,
    watchers,
};
use geranium_core::record::replication::{ConfigEffect, ConfigReplica, ReplicationTiming};
use geranium_core::record::{RecordIndex, RecordKey};
use geranium_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use super::record_store::RecordStore;
use super::sender::PeerSender;
use super::{PeerInput, PeerView, WatchEvent};
use crate::control::ControlInput;
use crate::node::{Node, Store};

/// Interval between two ticks of the membership and the records.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Owns the membership and the records, and executes their effects.
pub struct PeerTask {
    node: Arc<Node>,
    membership: Membership,
    records: ConfigReplica,
    store: RecordStore<Store>,
    sender: PeerSender,
    rx: mpsc::Receiver<PeerInput>,
}

impl PeerTask {
    /// Creates the task from the settings of a process.
    #[must_use]
    pub fn new(node: Arc<Node>, rx: mpsc::Receiver<PeerInput>) -> Self {
        let (client, tx) = (node.peer_client.clone(), node.peer_tx.clone());
        let now = node.clock.now();
        let local = local_member_info(&node);
        let seeds = &node.settings.peers;
        let config = MemberConfig {
            seeds: seeds
                .iter()
                .copied()
                .filter(|seed| *seed != local.peer_address)
                .collect(),
            local,
            timing: MemberTiming::default(),
        };
        let domain = node.settings.failure_domain.clone();
        let seed = node.recorder.identity().incarnation.0;
        Self {
            membership: Membership::new(config, now),
            records: ConfigReplica::new(domain, ReplicationTiming::default(), seed, now),
            store: RecordStore::new(node.store.clone(), tx.clone()),
            sender: PeerSender::new(client, tx),
            node,
            rx,
        }
    }

    /// Returns the heartbeat of a process that knows no peers yet.
    pub fn initial_heartbeat(&mut self) -> Heartbeat {
        let now = self.node.clock.now();
        let time = self.node.recorder.stamp(now);
        let local = self.membership.local().clone();
        self.membership.answer(&local, now, time)
    }

    /// Handles inputs until all senders are dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.handle_members_changed(self.node.clock.now()).await;
        loop {
            tokio::select! {
                input = self.rx.recv() => match input {
                    Some(input) => self.handle_input(input).await,
                    None => return,
                },
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.node.clock.now();
        let effects = self.records.tick(now);
        self.run_record_effects(effects, now).await;
        self.membership.set_config_status(self.records.status(now));
        let time = self.node.recorder.stamp(now);
        let effects = self.membership.tick(now, time);
        self.run_member_effects(effects, now).await;
        self.publish(now);
    }

    async fn handle_input(&mut self, input: PeerInput) {
        let now = self.node.clock.now();
        match input {
            PeerInput::Heartbeat(heartbeat, answer) => {
                self.handle_heartbeat(&heartbeat, now).await;
                let time = self.node.recorder.stamp(now);
                let _ = answer.send(self.membership.answer(&heartbeat.sender, now, time));
            }
            PeerInput::HeartbeatResult(_, Some(reply)) => self.handle_heartbeat(&reply, now).await,
            PeerInput::HeartbeatResult(to, None) => {
                let effects = self.membership.heartbeat_failed(to, now);
                self.run_member_effects(effects, now).await;
            }
            PeerInput::Groups(groups) => {
                self.membership
                    .set_groups(groups.iter().map(group_summary).collect());
            }
            PeerInput::Leaving => self.membership.begin_leaving(now),
            PeerInput::Crashes(digest) => {
                let learned = self.membership.merge_crashes(&digest);
                self.run_member_effects(learned.into_iter().collect(), now)
                    .await;
            }
            PeerInput::InForce(keys, answer) => {
                let _ = answer.send(self.in_force(&keys));
            }
            PeerInput::Pull(held, answer) => {
                let _ = answer.send(self.records.answer_pull(&held));
            }
            PeerInput::PullResult(peer, None) => self.records.handle_pull_failure(&peer, now),
            input => {
                let effects = self.handle_record_input(input, now);
                self.run_record_effects(effects, now).await;
            }
        }
    }

    fn handle_record_input(&mut self, input: PeerInput, now: Timestamp) -> Vec<ConfigEffect> {
        match input {
            PeerInput::PullResult(peer, Some(answer)) => {
                self.records.handle_pull_answer(&peer, answer, now)
            }
            PeerInput::Push(peer, records) => self.records.handle_push(&peer, records, now),
            PeerInput::StoreRead(Ok(read)) => self.records.handle_store_read(read, now),
            PeerInput::StoreRead(Err(e)) => self.records.handle_read_failure(&e.to_string(), now),
            PeerInput::Watch(number, event) if self.store.is_current(number) => match event {
                WatchEvent::Changes(changes) => self.records.handle_watch_changes(changes, now),
                WatchEvent::Failed(e) => self.records.handle_watch_failure(&e.to_string(), now),
                WatchEvent::Ended => {
                    self.records.handle_watch_end(now);
                    Vec::new()
                }
            },
            PeerInput::WriteBackResult(record, outcome) => {
                self.records.handle_write_back(&record, outcome, now)
            }
            PeerInput::Accepted(record, revision) => {
                self.records.handle_own_write(*record, revision, now)
            }
            _ => Vec::new(),
        }
    }

    async fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        self.node.recorder.observe(now, heartbeat.time);
        let effects = self.membership.receive_heartbeat(heartbeat, now);
        let confirmed_at = self.membership.confirmed_at(heartbeat);
        self.records
            .handle_heartbeat(&heartbeat.sender, heartbeat.config, confirmed_at, now);
        self.run_member_effects(effects, now).await;
    }

    fn in_force(&self, keys: &[RecordKey]) -> RecordIndex {
        let set = self.records.records();
        let rank = |key: &RecordKey| Some((key.clone(), set.get(key)?.stored.rank()));
        RecordIndex(keys.iter().filter_map(rank).collect())
    }

    async fn run_member_effects(&mut self, effects: Vec<MemberEffect>, now: Timestamp) {
        let mut changed = false;
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat } => {
                    self.sender.heartbeat(to, *heartbeat);
                }
                MemberEffect::MembersChanged => changed = true,
                MemberEffect::Emit(draft) => self.node.record(draft),
                MemberEffect::Paused(pause) => {
                    log::warn!("this process was paused for {} ms", pause.as_millis());
                }
                MemberEffect::CrashesLearned(digest) => {
                    self.node.traffic.import_crashes(now, &digest);
                }
            }
        }
        if changed {
            self.handle_members_changed(now).await;
        }
    }

    async fn handle_members_changed(&mut self, now: Timestamp) {
        let peers: Vec<MemberInfo> = self.membership.live_peers().cloned().collect();
        let members = self.membership.active_members();
        let local = &self.membership.local().host;
        let position = watchers(&members).iter().position(|host| *host == local);
        let effects = self.records.set_members(peers, position, now);
        self.run_record_effects(effects, now).await;
        self.publish(now);
    }

    async fn run_record_effects(&mut self, effects: Vec<ConfigEffect>, now: Timestamp) {
        let local = self.membership.local().clone();
        for effect in effects {
            match effect {
                ConfigEffect::ReadStore => self.store.read(),
                ConfigEffect::StartWatch { after } => self.store.start_watch(after),
                ConfigEffect::StopWatch => self.store.stop_watch(),
                ConfigEffect::PullFromPeer { peer, index } => self.sender.pull(&local, peer, index),
                ConfigEffect::PushToPeers { peers, records } => {
                    self.sender.push(&local, peers, &records);
                }
                ConfigEffect::WriteBack { record, expected } => {
                    self.store.write_back(record, expected);
                }
                ConfigEffect::RecordsChanged => self.handle_records_changed(now).await,
                ConfigEffect::Emit(draft) => self.node.record(draft),
            }
        }
    }

    async fn handle_records_changed(&mut self, now: Timestamp) {
        self.membership.set_config_status(self.records.status(now));
        let records = self.records.records().clone();
        let _ = self.node.control.send(ControlInput::Records(records)).await;
        self.publish(now);
    }

    fn publish(&self, now: Timestamp) {
        let view = PeerView::collect(&self.membership, self.records.records(), now);
        self.node.claims.share_rate(1 + view.hosts.len());
        self.node.peers.set(view);
    }
}

/// Returns the identity and the addresses that this process sends to its peers.
#[must_use]
pub fn local_member_info(node: &Node) -> MemberInfo {
    let identity = node.recorder.identity();
    MemberInfo {
        host: identity.host.clone(),
        failure_domain: identity.failure_domain.clone(),
        incarnation: identity.incarnation,
        peer_address: node.settings.peer_address,
        caller_address: node.settings.caller_address,
        leaving: false,
    }
}

fn group_summary(group: &ServingGroup) -> GroupSummary {
    let limit = match group.temperature {
        Temperature::Warm => group.warm_concurrency,
        Temperature::Cold => group.cold_concurrency,
    };
    GroupSummary {
        group: group.group.clone(),
        record: group.record.clone(),
        served_model: group.served_model.clone(),
        temperature: group.temperature,
        free_slots: limit.saturating_sub(group.running + group.waiting),
    }
}
