//! Datagrams between entry hosts: loads of backend servers and suspected groups.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::exchange::{ExchangeTopology, Peer};
use geranium_fleet::host::{HostId, HostReport};
use geranium_fleet::peer_load::{LoadSum, PeerLoads, RunningRequests};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::dialect::Dialect;
use crate::state::SharedState;

/// Pause between two reports of the own load.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// A datagram between entry hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Datagram {
    /// Requests that the sender runs at each backend server.
    Load(RunningRequests),
    /// Requests that the entry hosts of a failure domain run at each backend server.
    Domain(Arc<str>, LoadSum),
    /// Requests that other entry hosts than the receiver run at each backend server.
    Sum(LoadSum),
    /// What hosts answered themselves while the store was away.
    Reports(Vec<(HostId, HostReport)>),
    /// A group whose head the sender takes to have stopped.
    Suspect(Arc<str>),
    /// Head of a group in which the manager found a member that does not answer.
    Stopped(HostId),
    /// Lives of backend servers that said that they leave, with the starts of their
    /// processes.
    Leaving(Vec<(HostId, u64)>),
}

/// The socket for datagrams, and where the other entry hosts listen.
pub(crate) struct PeerLink {
    socket: UdpSocket,
    /// Entry hosts by their names.
    peers: RefCell<HashMap<String, Peer>>,
    /// What follows from the list of entry hosts, until it changes.
    plan: RefCell<Option<Rc<ExchangeTopology>>>,
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
            plan: RefCell::default(),
            loads: RefCell::default(),
        })
    }

    /// Tells the manager of a group that may have stopped.
    pub(crate) fn send_suspect(&self, to: SocketAddr, head: &Arc<str>) {
        self.send(to, &Datagram::Suspect(head.clone()));
    }

    /// Passes on what hosts answered themselves.
    pub(crate) fn send_reports(&self, own_name: &str, reports: Vec<(HostId, HostReport)>) {
        self.send_to_others(own_name, &Datagram::Reports(reports));
    }

    /// Tells the other entry hosts of a group that has lost a member: each of them sends
    /// it few requests, so that by itself it would notice late.
    pub(crate) fn send_stopped(&self, own_name: &str, head: &HostId) {
        self.send_to_others(own_name, &Datagram::Stopped(head.clone()));
    }

    fn send_to_others(&self, own_name: &str, datagram: &Datagram) {
        for address in self.other_addresses(own_name) {
            self.send(address, datagram);
        }
    }

    /// Takes in the registration of an entry host, or its end.
    pub(crate) fn set_peer(&self, name: &str, peer: Option<Peer>) {
        let mut peers = self.peers.borrow_mut();
        match peer {
            Some(peer) => peers.insert(name.to_owned(), peer),
            None => peers.remove(name),
        };
        self.plan.take();
    }

    /// Returns the addresses of the other entry hosts.
    pub(crate) fn other_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let others = peers.values().filter(|p| *p.name != *own_name);
        others.map(|p| p.address).collect()
    }

    /// Returns whom this entry host tells and asks.
    pub(crate) fn exchange_plan(&self, name: &str, failure_domain: &str) -> Rc<ExchangeTopology> {
        let mut plan = self.plan.borrow_mut();
        let plan = plan.get_or_insert_with(|| {
            let peers: Vec<Peer> = self.peers.borrow().values().cloned().collect();
            Rc::new(ExchangeTopology::new(&peers, name, failure_domain))
        });
        plan.clone()
    }

    /// Reports the own load, and tells the sums if this entry host leads.
    fn exchange_loads(
        &self,
        plan: &ExchangeTopology,
        domain: &Arc<str>,
        own: &RunningRequests,
        round: usize,
        now: Timestamp,
    ) {
        let report = Datagram::Load(own.clone());
        for to in &plan.reports_to {
            self.send(*to, &report);
        }
        if plan.is_leader {
            let sum = self.loads.borrow_mut().domain_sum(own, now);
            let datagram = Datagram::Domain(domain.clone(), sum);
            for to in &plan.remote_leaders {
                self.send(*to, &datagram);
            }
        }
        for to in plan.followers_in_round(round) {
            let sum = self.loads.borrow_mut().sum_excluding(&to, own, now);
            self.send(to, &Datagram::Sum(sum));
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        match serde_json::to_vec(datagram) {
            Ok(bytes) => {
                // Datagrams may be lost anywhere; the next one says the same.
                if let Err(e) = self.socket.try_send_to(&bytes, to) {
                    log::debug!(to:% = to; "datagram was not sent: {e}");
                }
            }
            Err(e) => log::error!("datagram cannot be written: {e}"),
        }
    }
}

/// Reports the own load, and tells the sums of all if this entry host leads.
pub(crate) async fn run_sender<D: Dialect>(shared: Rc<SharedState<D>>, link: Rc<PeerLink>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        round += 1;
        let load: RunningRequests = {
            let core = shared.core.borrow();
            let running = core.dispatcher.running();
            running.map(|(id, n)| (id.clone(), n)).collect()
        };
        send_leaving(&shared, &link);
        let domain = &shared.cfg.failure_domain;
        let plan = link.exchange_plan(&shared.cfg.name, domain);
        link.exchange_loads(&plan, domain, &load, round, shared.now());
        apply_loads(&shared, &link);
    }
}

/// Tells the manager of backend servers that said that they leave, so that it replaces
/// their groups although their entries may not say so yet.
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

/// Takes datagrams in.
pub(crate) async fn run_receiver<D: Dialect>(shared: Rc<SharedState<D>>, link: Rc<PeerLink>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (n, from) = match link.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::warn!("cannot receive datagrams: {e}");
                tokio::time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        match serde_json::from_slice(&buf[..n]) {
            Ok(Datagram::Load(load)) => {
                let mut loads = link.loads.borrow_mut();
                loads.record_report(from, load, shared.now());
            }
            Ok(Datagram::Domain(domain, sum)) => {
                let mut loads = link.loads.borrow_mut();
                loads.record_domain_sum(domain, sum, shared.now());
            }
            Ok(Datagram::Sum(sum)) => {
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
                shared
                    .suspected_heads
                    .borrow_mut()
                    .insert(head.clone(), shared.now());
                shared
                    .core
                    .borrow_mut()
                    .dispatcher
                    .suspect(&head, shared.now());
                shared.directory_changed.notify_waiters();
            }
            Ok(Datagram::Stopped(head)) => {
                handle_stopped(&shared, &head, from);
            }
            Ok(Datagram::Leaving(leaving)) => {
                for (id, born) in leaving {
                    if shared.record_leaving(&id, born) {
                        log::info!(host:% = id, from:% = from; "another entry host heard that a backend server leaves");
                    }
                }
            }
            Err(e) => log::warn!(from:% = from; "datagram is malformed: {e}"),
        }
    }
}

/// Sends the work of a group elsewhere that the manager found to have lost a member, unless
/// the group was heard lately.
fn handle_stopped<D: Dialect>(shared: &SharedState<D>, head: &HostId, from: SocketAddr) {
    let activity = shared.running.activity(head);
    if activity.is_some_and(|a| a.contradicts_stop(shared.now())) {
        log::info!(head:% = head, from:% = from; "group is said to have lost a member, but was heard lately");
        return;
    }
    log::info!(head:% = head, from:% = from; "group has lost a member, its work moves away");
    shared.reroute_from(head);
}

/// Works out the load of all other entry hosts from those that were heard.
fn apply_loads<D: Dialect>(shared: &SharedState<D>, link: &PeerLink) {
    let now = shared.now();
    let running = link.loads.borrow_mut().peer_requests(now);
    let mut core = shared.core.borrow_mut();
    core.dispatcher.set_peer_requests(&running, now);
}
