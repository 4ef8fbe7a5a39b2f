//! Simulation of many entry hosts in front of few groups that are nearly full.
//!
//! Guards against herding: each entry host learns with a delay what the others run. If all
//! send to the group that they believe is least loaded, they fill it before they hear of
//! each other, and it refuses requests while other groups have room. A group that has just
//! opened would get a multiple of its part, and all these requests would be late.

mod fixture;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fixture::server;
use geranium_core::time::Timestamp;
use geranium_fleet::exchange::{ExchangeTopology, Peer};
use geranium_fleet::peer_load::{LoadSum, PeerLoads, RunningRequests};
use geranium_fleet::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(1_000_000);
/// Number of requests that a group runs at once.
const SLOTS: u32 = 20;
/// Number of requests that may wait at a group before it refuses more.
const QUEUE_LIMIT: u32 = 4;
/// Range of request durations, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 400..2_000;
/// Mean request duration, in seconds.
const MEAN_DURATION_S: f64 = 1.2;
/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two load reports of an entry host.
const REPORT_STEPS: usize = 15;
/// Number of failure domains of the entry hosts and groups.
const DOMAINS: usize = 3;
/// Number of steps in a run.
const STEPS: u32 = 3_000;

/// An entry host with what it knows of the others.
struct EntryHost {
    dispatcher: Dispatcher,
    loads: PeerLoads<usize>,
    topology: ExchangeTopology,
    round: usize,
}

impl EntryHost {
    fn apply_loads(&mut self, now: Timestamp) {
        let loads = self.loads.peer_requests(now);
        self.dispatcher.set_peer_requests(&loads, now);
    }
}

/// Entry hosts and the groups behind them.
struct Cluster {
    rng: SmallRng,
    directory: Directory,
    entry_hosts: Vec<EntryHost>,
    running: BTreeMap<HostId, u32>,
    ending: BTreeMap<Timestamp, Vec<(usize, HostId)>>,
    arrivals: u32,
    refused: u32,
}

fn group(i: usize) -> Host {
    Host {
        slots: SLOTS,
        ..server(&format!("g{i:02}"), "engines", &domain(i))
    }
}

fn domain(i: usize) -> Arc<str> {
    format!("d{}", i % DOMAINS).into()
}

/// Creates an entry host whose port is its index.
fn peer(i: usize) -> Peer {
    let port = u16::try_from(i).expect("the index fits a port number");
    Peer {
        name: format!("e{i}").into(),
        failure_domain: domain(i),
        address: ([127, 0, 0, 1], port).into(),
        forward_address: None,
        processor_share: 1.0,
        reads_demand: true,
    }
}

fn indexes(addresses: &[SocketAddr]) -> Vec<usize> {
    addresses.iter().map(|a| a.port().into()).collect()
}

impl Cluster {
    fn new(entry_hosts: usize, groups: usize) -> Self {
        let mut directory = Directory::default();
        for i in 0..groups {
            directory.put(group(i));
        }
        let peers: Vec<Peer> = (0..entry_hosts).map(peer).collect();
        let entry_host = |i: usize| EntryHost {
            dispatcher: Dispatcher::new(peers[i].name.clone(), domain(i)),
            loads: PeerLoads::default(),
            topology: ExchangeTopology::new(&peers, &peers[i].name, &domain(i)),
            round: 0,
        };
        Self {
            rng: SmallRng::seed_from_u64(7),
            directory,
            entry_hosts: (0..entry_hosts).map(entry_host).collect(),
            running: BTreeMap::new(),
            ending: BTreeMap::new(),
            arrivals: 0,
            refused: 0,
        }
    }

    /// Runs requests that use a fraction of all slots, and returns the fraction of the
    /// arrivals that groups refuse.
    fn run(&mut self, utilization: f64) -> f64 {
        self.run_steps(utilization, 0..STEPS);
        f64::from(self.refused) / f64::from(self.arrivals)
    }

    fn run_steps(&mut self, utilization: f64, steps: std::ops::Range<u32>) {
        let slots = self.directory.hosts().count() as f64 * f64::from(SLOTS);
        let per_step = utilization * slots / MEAN_DURATION_S * STEP.as_secs_f64();
        for step in steps {
            let now = START + STEP * step;
            self.end_requests(now);
            self.exchange(step as usize, now);
            let full = per_step.floor() as u32;
            let extra = self.rng.random::<f64>() < per_step.fract();
            for _ in 0..full + u32::from(extra) {
                self.request(now);
            }
        }
    }

    fn end_requests(&mut self, now: Timestamp) {
        let later = self.ending.split_off(&(now + Duration::from_millis(1)));
        for (entry, id) in std::mem::replace(&mut self.ending, later)
            .into_values()
            .flatten()
        {
            self.entry_hosts[entry].dispatcher.finish_request(&id);
            *self.running.get_mut(&id).expect("the request runs there") -= 1;
        }
    }

    /// Lets the entry hosts whose turn it is send their loads and sums.
    fn exchange(&mut self, step: usize, now: Timestamp) {
        for from in 0..self.entry_hosts.len() {
            if !(step + from).is_multiple_of(REPORT_STEPS) {
                continue;
            }
            let entry_host = &mut self.entry_hosts[from];
            entry_host.round += 1;
            let (topology, round) = (entry_host.topology.clone(), entry_host.round);
            let running = entry_host.dispatcher.running();
            let running: RunningRequests = running.map(|(id, n)| (id.clone(), n)).collect();
            for to in indexes(&topology.reports_to) {
                let loads = &mut self.entry_hosts[to].loads;
                loads.record_report(from, running.clone(), now);
            }
            let own = LoadSum::single(running, DemandSum::default());
            if topology.is_leader {
                let sum = self.entry_hosts[from].loads.domain_sum(&own, now);
                for to in indexes(&topology.remote_leaders) {
                    let loads = &mut self.entry_hosts[to].loads;
                    loads.record_domain_sum(domain(from), sum.clone(), now);
                }
            }
            let followers: Vec<SocketAddr> = topology.followers_in_round(round).collect();
            for to in indexes(&followers) {
                let sum = self.entry_hosts[from].loads.sum_excluding(&to, &own, now);
                self.entry_hosts[to].loads.record_overall_sum(sum, now);
                self.entry_hosts[to].apply_loads(now);
            }
            self.entry_hosts[from].apply_loads(now);
        }
    }

    /// Sends one request to an entry host, which tries up to two groups.
    fn request(&mut self, now: Timestamp) {
        let entry = self.rng.random_range(0..self.entry_hosts.len());
        let mut tried = Vec::new();
        for _ in 0..2 {
            let criteria = DispatchCriteria {
                service: "engines",
                model: None,
                tried: &tried,
                cold_limit: None,
                entry_hosts: self.entry_hosts.len(),
                max_running: f64::from(SLOTS + QUEUE_LIMIT),
                request_time: Some(Duration::from_secs_f64(MEAN_DURATION_S)),
            };
            let dispatcher = &mut self.entry_hosts[entry].dispatcher;
            let Ok(choice) = dispatcher.choose(&self.directory, &criteria, now, &mut self.rng)
            else {
                return;
            };
            self.arrivals += 1;
            let id = choice.host.id;
            let running = self.running.entry(id.clone()).or_default();
            if *running < SLOTS + QUEUE_LIMIT {
                *running += 1;
                let end = now + Duration::from_millis(self.rng.random_range(DURATION_MS));
                self.ending.entry(end).or_default().push((entry, id));
                return;
            }
            self.refused += 1;
            self.entry_hosts[entry].dispatcher.finish_request(&id);
            tried.push(id);
        }
    }
}

#[test]
fn few_entry_hosts_spread_a_load_that_nearly_fills_the_groups() {
    for utilization in [0.5, 0.7, 0.85] {
        let refused = Cluster::new(8, 20).run(utilization);

        assert!(
            refused < 0.01,
            "{refused:.3} refused at {utilization} of the slots"
        );
    }
}

#[test]
fn many_entry_hosts_spread_a_load_that_nearly_fills_the_groups() {
    for utilization in [0.5, 0.7, 0.85] {
        let refused = Cluster::new(72, 48).run(utilization);

        assert!(
            refused < 0.01,
            "{refused:.3} refused at {utilization} of the slots"
        );
    }
}

/// Covers the large sites, where most groups have fewer slots than there are entry hosts.
#[test]
fn hundreds_of_entry_hosts_spread_a_load_that_nearly_fills_the_groups() {
    let refused = Cluster::new(200, 90).run(0.85);

    assert!(refused < 0.01, "{refused:.3} refused");
}

/// Guards against a new group that gets the requests of all entry hosts before its load is
/// reported.
#[test]
fn a_group_that_opens_is_not_filled_before_its_load_is_reported() {
    let mut cluster = Cluster::new(72, 20);
    let utilization = 0.7;
    cluster.run_steps(utilization, 0..500);
    let opened = group(20);
    cluster.directory.put(opened.clone());

    let mut peak = 0;
    for step in 500..700 {
        cluster.run_steps(utilization, step..step + 1);
        peak = peak.max(cluster.running.get(&opened.id).copied().unwrap_or(0));
    }

    assert!(peak <= SLOTS, "{peak} requests at the new group");
}

#[test]
fn a_sum_counts_the_collector_and_leaves_the_receiver_out() {
    let mut loads = PeerLoads::default();
    let at = |n| vec![(HostId::from("g"), n)];
    loads.record_report("first", at(1), START);
    loads.record_report("second", at(2), START);
    loads.record_report("outdated", at(64), START);
    let now = START + Duration::from_millis(600);
    loads.record_report("first", at(4), now);
    loads.record_report("second", at(8), now);

    let own = LoadSum::single(at(16), DemandSum::default());
    let sum = loads.sum_excluding(&"second", &own, now + Duration::from_millis(200));

    assert_eq!(sum.entry_hosts, 2);
    assert_eq!(sum.running, at(20));
}

#[test]
fn sums_of_other_failure_domains_are_included() {
    let mut loads = PeerLoads::default();
    let at = |n| vec![(HostId::from("g"), n)];
    loads.record_report("first", at(1), START);
    let elsewhere = LoadSum {
        entry_hosts: 5,
        running: at(32),
        ..LoadSum::default()
    };
    loads.record_domain_sum("d2".into(), elsewhere, START);

    let own = LoadSum::single(at(2), DemandSum::default());
    assert_eq!(loads.domain_sum(&own, START).running, at(3));
    let sum = loads.sum_excluding(&"first", &own, START);
    assert_eq!((sum.entry_hosts, sum.running), (6, at(34)));
    assert_eq!(loads.peer_requests(START).get("g"), Some(&33.0));
    let later = START + Duration::from_secs(1);
    assert!(
        loads.peer_requests(later).is_empty(),
        "a cut-off domain no longer counts"
    );
}
