//! Message delivery to hosts and execution of their effects.

use super::*;

impl Fleet {
    pub(super) fn deliver(&mut self, to: SocketAddr, message: Message) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&to) else {
            return;
        };
        if host.is_paused {
            host.waiting.push(message);
            return;
        }
        match message {
            Message::Tick => self.tick(to),
            Message::Heartbeat(from, heartbeat) => self.receive(to, &heartbeat, Some(from)),
            Message::Answer(heartbeat) => self.receive(to, &heartbeat, None),
            Message::HeartbeatFailed(target) => {
                let effects = host.membership.heartbeat_failed(target, now);
                self.run_member_effects(to, effects);
            }
            Message::Pull(from, index) => {
                let answer = host.replica.answer_pull(&index);
                let own = host.info.clone();
                self.send(
                    from.peer_address,
                    self.latency,
                    Message::PullAnswer(own, answer),
                );
            }
            Message::PullAnswer(from, answer) => {
                let effects = host.replica.handle_pull_answer(&from, answer, now);
                self.run_config_effects(to, effects);
            }
            Message::PullFailed(from) => host.replica.handle_pull_failure(&from, now),
            Message::Push(from, records) => {
                let effects = host.replica.handle_push(&from, records, now);
                self.run_config_effects(to, effects);
            }
            Message::Read(Some(read)) => {
                let effects = host.replica.handle_store_read(read, now);
                self.run_config_effects(to, effects);
            }
            Message::Read(None) => {
                let effects = host.replica.handle_read_failure("unreachable", now);
                self.run_config_effects(to, effects);
            }
            Message::Watch(watch, changes) if host.watch == Some(watch) => {
                let effects = host.replica.handle_watch_changes(changes, now);
                self.run_config_effects(to, effects);
            }
            Message::WatchFailed(watch) if host.watch == Some(watch) => {
                host.watch = None;
                let effects = host.replica.handle_watch_failure("reset", now);
                self.run_config_effects(to, effects);
            }
            Message::Watch(..) | Message::WatchFailed(_) => {}
            Message::WriteBack(record, outcome) => {
                let effects = host.replica.handle_write_back(&record, outcome, now);
                self.run_config_effects(to, effects);
            }
        }
    }

    pub(super) fn tick(&mut self, to: SocketAddr) {
        let now = self.now;
        self.send(to, TICK, Message::Tick);
        let host = self.hosts.get_mut(&to).expect("host exists");
        host.membership.set_config_status(host.replica.status(now));
        let time = host.clock.tick(now);
        let effects = host.membership.tick(now, time);
        self.run_member_effects(to, effects);
        let host = self.hosts.get_mut(&to).expect("host exists");
        let effects = host.replica.tick(now);
        self.run_config_effects(to, effects);
    }

    pub(super) fn receive(
        &mut self,
        to: SocketAddr,
        heartbeat: &Heartbeat,
        caller: Option<SocketAddr>,
    ) {
        let now = self.now;
        let host = self.hosts.get_mut(&to).expect("host exists");
        let time = host.clock.observe(now, heartbeat.time);
        let effects = host.membership.receive_heartbeat(heartbeat, now);
        let confirmed_at = host.membership.confirmed_at(heartbeat);
        let (sender, config) = (&heartbeat.sender, heartbeat.config);
        host.replica
            .handle_heartbeat(sender, config, confirmed_at, now);
        host.membership.set_config_status(host.replica.status(now));
        if let Some(caller) = caller {
            let answer = host.membership.answer(&heartbeat.sender, now, time);
            self.send(caller, self.latency, Message::Answer(Box::new(answer)));
        }
        self.run_member_effects(to, effects);
    }

    pub(super) fn run_member_effects(&mut self, at: SocketAddr, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::SendHeartbeat { to, heartbeat } => {
                    self.counts.heartbeats += 1;
                    let arrives = self.arrives(at, to);
                    if arrives {
                        self.send(to, self.latency, Message::Heartbeat(at, heartbeat));
                    }
                    if !arrives || self.hosts[&to].is_paused {
                        self.send(at, CALL_TIMEOUT, Message::HeartbeatFailed(to));
                    }
                }
                MemberEffect::MembersChanged => self.renew_duties(at),
                MemberEffect::Emit(event) => self.record_event(at, event),
                MemberEffect::CrashesLearned(digest) => {
                    let host = self.hosts[&at].info.host.clone();
                    self.crashes.push((host, digest));
                }
                MemberEffect::Paused(_) => {}
            }
        }
    }

    pub(super) fn renew_duties(&mut self, at: SocketAddr) {
        let now = self.now;
        let host = self.hosts.get_mut(&at).expect("host exists");
        let members = host.membership.active_members();
        let position = watchers(&members)
            .iter()
            .position(|id| **id == host.info.host);
        let peers = host.membership.live_peers().cloned().collect();
        let effects = host.replica.set_members(peers, position, now);
        self.run_config_effects(at, effects);
    }

    pub(super) fn run_config_effects(&mut self, at: SocketAddr, effects: Vec<ConfigEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::ReadStore => self.read_store(at),
                ConfigEffect::StartWatch { after } => self.start_watch(at, after),
                ConfigEffect::StopWatch => self.hosts.get_mut(&at).expect("host runs").watch = None,
                ConfigEffect::PullFromPeer { peer, index } => self.pull(at, peer, index),
                ConfigEffect::PushToPeers { peers, records } => {
                    let own = self.hosts[&at].info.clone();
                    let records: Vec<_> = records.iter().map(|r| (**r).clone()).collect();
                    for peer in peers {
                        self.counts.pushed_records += records.len() as u64;
                        if self.arrives(at, peer.peer_address) {
                            let push = Message::Push(own.clone(), records.clone());
                            self.send(peer.peer_address, self.latency, push);
                        }
                    }
                }
                ConfigEffect::WriteBack { record, expected } => {
                    self.write_back(at, &record, expected);
                }
                ConfigEffect::RecordsChanged => {}
                ConfigEffect::Emit(event) => self.record_event(at, event),
            }
        }
    }

    pub(super) fn pull(&mut self, at: SocketAddr, peer: MemberInfo, index: RecordIndex) {
        self.counts.pulls += 1;
        let arrives = self.arrives(at, peer.peer_address);
        if arrives {
            let own = self.hosts[&at].info.clone();
            self.send(peer.peer_address, self.latency, Message::Pull(own, index));
        }
        if !arrives || self.hosts[&peer.peer_address].is_paused {
            self.send(at, CALL_TIMEOUT, Message::PullFailed(peer));
        }
    }

    pub(super) fn read_store(&mut self, at: SocketAddr) {
        self.store.calls += 1;
        if self.reaches_store(at) {
            let read = self.store.read();
            self.send(at, STORE_LATENCY, Message::Read(Some(read)));
        } else {
            self.send(at, CALL_TIMEOUT, Message::Read(None));
        }
    }

    pub(super) fn start_watch(&mut self, at: SocketAddr, after: StoreRevision) {
        self.store.calls += 1;
        self.sequence += 1;
        let watch = self.sequence;
        self.hosts.get_mut(&at).expect("host exists").watch = Some(watch);
        let changed = self.store.values.values().filter(|(_, r)| *r > after);
        let changes = changed.map(|(record, r)| StoreChange::Put(record.clone(), *r));
        let changes = changes.collect();
        self.send(at, STORE_LATENCY, Message::Watch(watch, changes));
    }

    pub(super) fn write_back(
        &mut self,
        at: SocketAddr,
        record: &StoredRecord,
        expected: StoreRevision,
    ) {
        self.counts.write_backs += 1;
        self.store.calls += 1;
        let outcome = if !self.reaches_store(at) {
            WriteBackOutcome::Failed
        } else {
            match self.write(record, expected) {
                Some(revision) => WriteBackOutcome::Applied(revision),
                None => WriteBackOutcome::Conflict(self.store.values.get(&record.key).cloned()),
            }
        };
        self.send(
            at,
            STORE_LATENCY,
            Message::WriteBack(record.clone(), outcome),
        );
    }
}
