//! UDP datagrams between entry hosts: load reports, host state and suspected groups.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::demand::DemandSum;
use geranium_fleet::exchange::{ExchangeTopology, Peer, REPORT_INTERVAL, candidacy_rank};
use geranium_fleet::host::{HostId, HostReport};
use geranium_fleet::peer_load::{LoadSum, PeerLoads, RunningRequests};
use geranium_fleet::server_limit::LimitReport;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::crash_record::CrashRecord;
use crate::dialect::Dialect;
use crate::state::SharedState;

/// Size of the largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// A datagram between entry hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Datagram {
    /// Running requests of the sender at each backend server.
    Load(RunningRequests),
    /// What callers ask the sender for.
    Demand(DemandSum),
    /// Load of all entry hosts of a failure domain.
    Domain(Arc<str>, LoadSum),
    /// Load of all entry hosts except the receiver.
    Sum(LoadSum),
    /// State reports fetched directly from hosts while the store was unreachable.
    Reports(Vec<(HostId, HostReport)>),
    /// Head host of a group that the sender suspects to have stopped.
    Suspect(Arc<str>),
    /// Head host of a group in which the manager found an unresponsive member.
    Stopped(HostId),
    /// Backend servers that announced their shutdown, with their incarnations.
    Leaving(Vec<(HostId, u64)>),
    /// Limits that backend servers named or name no more.
    Limits(Vec<LimitReport>),
    /// What is known of a crash, while it can't be written to the store.
    Crash(CrashRecord),
}

/// The datagram socket, and what is known of the other entry hosts.
pub(crate) struct PeerLink {
    socket: UdpSocket,
    /// Registered entry hosts by name.
    peers: RefCell<HashMap<String, Peer>>,
    /// Exchange topology derived from `peers`; cleared when they change.
    topology: RefCell<Option<Rc<ExchangeTopology>>>,
    loads: RefCell<PeerLoads<SocketAddr>>,
}

impl PeerLink {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            peers: RefCell::default(),
            topology: RefCell::default(),
            loads: RefCell::default(),
        })
    }

    /// Reports a group that may have stopped to the manager.
    pub(crate) fn send_suspect(&self, to: SocketAddr, head: &Arc<str>) {
        self.send(to, &Datagram::Suspect(head.clone()));
    }

    /// Passes on state reports fetched directly from hosts.
    pub(crate) fn send_reports(&self, own_name: &str, reports: Vec<(HostId, HostReport)>) {
        self.send_to_others(own_name, &Datagram::Reports(reports));
    }

    /// Announces a group that has lost a member to the other entry hosts. Each of them sends
    /// only few requests to the group and would notice late by itself.
    pub(crate) fn send_stopped(&self, own_name: &str, head: &HostId) {
        self.send_to_others(own_name, &Datagram::Stopped(head.clone()));
    }

    /// Tells the other entry hosts of a crash.
    pub(crate) fn send_crash_record(&self, own_name: &str, record: &CrashRecord) {
        self.send_to_others(own_name, &Datagram::Crash(record.clone()));
    }

    fn send_to_others(&self, own_name: &str, datagram: &Datagram) {
        for address in self.other_addresses(own_name) {
            self.send(address, datagram);
        }
    }

    /// Adds, updates or (with `None`) removes an entry host.
    pub(crate) fn set_peer(&self, name: &str, peer: Option<Peer>) {
        let mut peers = self.peers.borrow_mut();
        match peer {
            Some(peer) => peers.insert(name.to_owned(), peer),
            None => peers.remove(name),
        };
        self.topology.take();
    }

    /// Returns the addresses of the other entry hosts.
    pub(crate) fn other_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let others = peers.values().filter(|p| *p.name != *own_name);
        others.map(|p| p.address).collect()
    }

    /// Returns the number of entry hosts that stand for the role of the manager before this one.
    pub(crate) fn candidacy_rank(&self, own_name: &str, processor_share: f64) -> u32 {
        let peers = self.peers.borrow();
        let rank = candidacy_rank(peers.values(), own_name, processor_share);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns the exchange topology from the point of view of this entry host.
    pub(crate) fn topology(&self, name: &str, failure_domain: &str) -> Rc<ExchangeTopology> {
        let mut topology = self.topology.borrow_mut();
        let topology = topology.get_or_insert_with(|| {
            let peers: Vec<Peer> = self.peers.borrow().values().cloned().collect();
            Rc::new(ExchangeTopology::new(&peers, name, failure_domain))
        });
        topology.clone()
    }

    /// Sends this entry host's load, and the sums if it is a leader.
    fn exchange_loads(
        &self,
        topology: &ExchangeTopology,
        domain: &Arc<str>,
        own: &LoadSum,
        round: usize,
        now: Timestamp,
    ) {
        let report = Datagram::Load(own.running.clone());
        for to in &topology.reports_to {
            self.send(*to, &report);
        }
        let demand = Datagram::Demand(own.demand.clone());
        for to in &topology.reports_demand_to {
            self.send(*to, &demand);
        }
        if topology.is_leader {
            let sum = self.loads.borrow_mut().domain_sum(own, now);
            let datagram = Datagram::Domain(domain.clone(), sum);
            for to in &topology.remote_leaders {
                self.send(*to, &datagram);
            }
        }
        for to in topology.followers_in_round(round) {
            let sum = self.loads.borrow_mut().sum_excluding(&to, own, now);
            self.send(to, &Datagram::Sum(sum));
        }
    }

    /// Tells what changed of the limits of backend servers. Those that lead pass it on to
    /// all that they exchange loads with.
    fn tell_limits(&self, topology: &ExchangeTopology, limits: Vec<LimitReport>) {
        if limits.is_empty() {
            return;
        }
        let datagram = Datagram::Limits(limits);
        let led = topology.remote_leaders.iter().chain(&topology.followers);
        let led = led.filter(|_| topology.is_leader);
        for to in topology.reports_to.iter().chain(led) {
            self.send(*to, &datagram);
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        match serde_json::to_vec(datagram) {
            Ok(bytes) => {
                // Datagrams may get lost anyway; the next one repeats the contents.
                if let Err(e) = self.socket.try_send_to(&bytes, to) {
                    log::debug!(to:% = to; "failed to send a datagram: {e}");
                }
            }
            Err(e) => log::error!("failed to serialize a datagram: {e}"),
        }
    }
}

/// Periodically sends this entry host's load, and the sums if it is a leader.
pub(crate) async fn run_sender<D: Dialect>(shared: Rc<SharedState<D>>, link: Rc<PeerLink>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        round += 1;
        let load = shared.core.borrow_mut().own_load(shared.now());
        send_leaving(&shared, &link);
        let domain = &shared.cfg.failure_domain;
        let topology = link.topology(&shared.cfg.name, domain);
        link.exchange_loads(&topology, domain, &load, round, shared.now());
        let limits = {
            let core = shared.core.borrow();
            let passes_on = !topology.followers.is_empty();
            core.dispatcher.limits().reports(passes_on, shared.now())
        };
        link.tell_limits(&topology, limits);
        apply_loads(&shared, &link);
    }
}

/// Reports backend servers that announced their shutdown to the manager, so that it
/// replaces their groups even if their entries in the store do not show it yet.
fn send_leaving<D: Dialect>(shared: &SharedState<D>, link: &PeerLink) {
    let leaving = shared.unreported_leaving.take();
    if leaving.is_empty() || shared.is_manager.get() {
        return;
    }
    let core = shared.core.borrow();
    if let Some((_, address)) = &core.manager {
        link.send(*address, &Datagram::Leaving(leaving));
    }
}

/// Receives and handles datagrams until the process ends.
pub(crate) async fn run_receiver<D: Dialect>(shared: Rc<SharedState<D>>, link: Rc<PeerLink>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (n, from) = match link.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::warn!("failed to receive a datagram: {e}");
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice(&buf[..n]) {
            Ok(Datagram::Load(load)) => {
                let mut loads = link.loads.borrow_mut();
                loads.record_report(from, load, shared.now());
            }
            Ok(Datagram::Demand(mut demand)) => {
                check_demand(&mut demand, from);
                let mut loads = link.loads.borrow_mut();
                loads.record_demand(from, demand, shared.now());
            }
            Ok(Datagram::Domain(domain, mut sum)) => {
                check_demand(&mut sum.demand, from);
                let mut loads = link.loads.borrow_mut();
                loads.record_domain_sum(domain, sum, shared.now());
            }
            Ok(Datagram::Sum(mut sum)) => {
                check_demand(&mut sum.demand, from);
                link.loads
                    .borrow_mut()
                    .record_overall_sum(sum, shared.now());
                apply_loads(&shared, &link);
            }
            Ok(Datagram::Reports(reports)) if shared.store_unreachable.get() => {
                shared.apply_reports(&reports);
            }
            Ok(Datagram::Reports(_)) => {}
            Ok(Datagram::Suspect(head)) => {
                log::info!(head:% = head, from:% = from; "another entry host reports a silent group");
                // The manager asks the members before anyone avoids the group: the sender may
                // itself be cut off.
                shared
                    .suspected_heads
                    .borrow_mut()
                    .insert(head, shared.now());
                shared.state_changed.notify_waiters();
            }
            Ok(Datagram::Stopped(head)) => {
                handle_stopped(&shared, &head, from);
            }
            Ok(Datagram::Leaving(leaving)) => {
                for (id, incarnation) in leaving {
                    if shared.record_leaving(&id, incarnation) {
                        log::info!(host:% = id, from:% = from; "another entry host reports that a backend server is shutting down");
                    }
                }
            }
            Ok(Datagram::Limits(reports)) => {
                for report in &reports {
                    shared.apply_limit_report(report, from);
                }
            }
            Ok(Datagram::Crash(record)) => shared.apply_crash_record(&record),
            Err(e) => log::warn!(from:% = from; "datagram is malformed: {e}"),
        }
    }
}

/// Removes impossible numbers from a report of what callers ask for.
fn check_demand(demand: &mut DemandSum, from: SocketAddr) {
    let discarded = demand.discard_impossible();
    if discarded > 0 {
        log::warn!(from:% = from, models = discarded; "impossible demand for models is ignored");
    }
}

/// Moves the attempts away from a group in which the manager found an unresponsive member,
/// unless this entry host heard from the group recently.
fn handle_stopped<D: Dialect>(shared: &SharedState<D>, head: &HostId, from: SocketAddr) {
    let activity = shared.running.activity(head);
    if activity.is_some_and(|a| a.contradicts_stop(shared.now())) {
        log::info!(head:% = head, from:% = from; "ignoring the report of a stopped group that was active recently");
        return;
    }
    log::info!(head:% = head, from:% = from; "group has lost a member, its work moves away");
    shared.reroute_from(head);
}

/// Updates the local view with the load and the demand that all other entry hosts reported.
fn apply_loads<D: Dialect>(shared: &SharedState<D>, link: &PeerLink) {
    let now = shared.now();
    let mut loads = link.loads.borrow_mut();
    let mut core = shared.core.borrow_mut();
    core.dispatcher
        .set_peer_requests(&loads.peer_requests(now), now);
    core.peer_demand = loads.peer_demand(now);
}
