//! Many entry hosts whose lists differ, all of them with more requests for cold backend
//! servers than these take.

mod fixture;
#[path = "fixture/settled.rs"]
mod settled;

use std::time::Duration;

use fixture::server;
use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;
use geranium_fleet::dispatch::REGISTRATION_LEASE;
use geranium_fleet::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use settled::settled_dispatcher;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(48);
const SECOND: Duration = Duration::from_secs(1);
const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Requests per second that all entry hosts together may send to a cold server.
const LIMIT: usize = 10;
/// Interval at which an entry host renews its registration.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Delays after which entry hosts see changes of the store, in milliseconds.
const VIEW_DELAYS_MS: std::ops::Range<u64> = 0..1_000;
/// Times at which the entry hosts start, from the start of the run, in milliseconds.
const START_TIMES_MS: std::ops::Range<u64> = 0..2_000;
/// When a third of the entry hosts cannot reach the store, from the start.
const CUT: std::ops::Range<Duration> = Duration::from_secs(12)..Duration::from_secs(30);
/// When an entry host stops without a word, and new ones start.
const REPLACED_AT: Duration = Duration::from_secs(13);
/// When an entry host gives its registration up, from the start.
const RESIGNED_AT: Duration = Duration::from_secs(14);

struct EntryHost {
    name: String,
    dispatcher: Dispatcher,
    view_delay: Duration,
    largest_view: usize,
    /// Whether it is one of those that are cut off from the store.
    is_cut: bool,
    /// Whether its renewals still reach the store then.
    renews_while_cut: bool,
    starts_at: Timestamp,
    /// When it stops for good.
    stops_at: Option<Timestamp>,
    /// When it gives its registration up.
    resigns_at: Option<Timestamp>,
    renewed_at: Option<Timestamp>,
    /// When the next renewal is due.
    due_at: Timestamp,
}

struct Simulation {
    rng: SmallRng,
    directory: Directory,
    entry_hosts: Vec<EntryHost>,
    /// Names in the store, since when.
    lists: Vec<(Timestamp, Vec<String>)>,
    arrivals: Vec<(Timestamp, HostId, String)>,
}

impl Simulation {
    fn new(seed: u64, entry_hosts: usize) -> Self {
        let mut directory = Directory::default();
        for id in SERVERS {
            let mut cold = server(id, "app", "a");
            cold.cold_until = Some(START + LENGTH * 2);
            directory.put(cold);
        }
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            directory,
            entry_hosts: Vec::new(),
            lists: Vec::new(),
            arrivals: Vec::new(),
        };
        for i in 0..entry_hosts {
            let started = simulation.rng.random_range(START_TIMES_MS);
            let starts_at = START + Duration::from_millis(started);
            simulation.add(format!("e{seed}-{i}"), starts_at);
        }
        simulation
    }

    fn add(&mut self, name: String, starts_at: Timestamp) {
        let view_delay = Duration::from_millis(self.rng.random_range(VIEW_DELAYS_MS));
        self.entry_hosts.push(EntryHost {
            dispatcher: Dispatcher::new(name.as_str().into(), "a".into()),
            name,
            view_delay,
            largest_view: 0,
            is_cut: false,
            renews_while_cut: false,
            starts_at,
            stops_at: None,
            resigns_at: None,
            renewed_at: None,
            due_at: starts_at,
        });
    }

    /// Cuts a third off from the changes of the store, with or without its renewals, replaces
    /// one of the others, adds two and has one leave.
    fn disturb(&mut self, renews_while_cut: bool) {
        for entry in self.entry_hosts.iter_mut().step_by(3) {
            entry.is_cut = true;
            entry.renews_while_cut = renews_while_cut;
        }
        self.entry_hosts[1].stops_at = Some(START + REPLACED_AT);
        for _ in 0..3 {
            let name = format!("r{}", self.rng.random::<u32>());
            self.add(name, START + REPLACED_AT);
        }
        self.entry_hosts[2].resigns_at = Some(START + RESIGNED_AT);
    }

    fn run(&mut self) {
        let steps = u32::try_from(LENGTH.as_millis() / STEP.as_millis()).expect("few steps");
        for step in 0..steps {
            let now = START + STEP * step;
            self.renew(now);
            self.update_list(now);
            self.update_views(now);
            self.send(now);
        }
    }

    fn renew(&mut self, now: Timestamp) {
        for entry in &mut self.entry_hosts {
            let reaches_store = entry.renews_while_cut || entry.reaches_store(now);
            if !entry.is_running(now) || !reaches_store || now < entry.due_at {
                continue;
            }
            entry.renew(now);
        }
    }

    fn update_list(&mut self, now: Timestamp) {
        let listed = self.entry_hosts.iter().filter(|e| e.is_listed(now));
        let names: Vec<String> = listed.map(|e| e.name.clone()).collect();
        if self.lists.last().is_none_or(|(_, last)| *last != names) {
            self.lists.push((now, names));
        }
    }

    fn update_views(&mut self, now: Timestamp) {
        for entry in &mut self.entry_hosts {
            if !entry.is_running(now) || !entry.reaches_store(now) {
                continue;
            }
            let seen_at = now - entry.view_delay;
            let seen = self.lists.iter().rfind(|(at, _)| *at <= seen_at);
            let Some((_, names)) = seen else {
                continue;
            };
            entry.largest_view = entry.largest_view.max(names.len());
            let senders = entry.dispatcher.senders_mut();
            senders.set_entry_hosts(names.iter().cloned(), now);
            senders.confirm_list(seen_at);
        }
    }

    fn send(&mut self, now: Timestamp) {
        for entry in &mut self.entry_hosts {
            if !entry.is_running(now) || entry.largest_view == 0 {
                continue;
            }
            let criteria = criteria(LIMIT, entry.largest_view);
            let directory = &self.directory;
            while let Ok(choice) = entry
                .dispatcher
                .choose(directory, &criteria, now, &mut self.rng)
            {
                let arrival = (now, choice.host.id, entry.name.clone());
                self.arrivals.push(arrival);
            }
        }
    }

    /// Returns the largest number of requests that a server got within a second.
    fn most_per_second(&self) -> usize {
        let most = SERVERS.map(|id| {
            let arrivals = self.arrivals.iter().filter(|(_, to, _)| **to == *id);
            let times: Vec<Timestamp> = arrivals.map(|(at, ..)| *at).collect();
            let starting = |i: usize| times[i..].partition_point(|t| t.since(times[i]) <= SECOND);
            (0..times.len()).map(starting).max().unwrap_or_default()
        });
        most.into_iter().max().unwrap_or_default()
    }

    /// Returns the entry hosts that sent to a server in the last three seconds.
    fn last_senders(&self, id: &str) -> HashSet<&str> {
        let from = START + LENGTH - SECOND * 3;
        let last = self.arrivals.iter();
        let last = last.filter(|(at, to, _)| *at >= from && **to == *id);
        last.map(|(.., name)| name.as_str()).collect()
    }
}

impl EntryHost {
    fn is_running(&self, now: Timestamp) -> bool {
        now >= self.starts_at && self.stops_at.is_none_or(|at| now < at)
    }

    fn reaches_store(&self, now: Timestamp) -> bool {
        !self.is_cut || !CUT.contains(&now.since(START))
    }

    fn is_listed(&self, now: Timestamp) -> bool {
        self.renewed_at
            .is_some_and(|at| now.since(at) < REGISTRATION_LEASE)
    }

    /// Registers, renews the registration or gives it up.
    fn renew(&mut self, now: Timestamp) {
        let was_listed = self.is_listed(now);
        let senders = self.dispatcher.senders_mut();
        if self.resigns_at.is_some_and(|at| now >= at) {
            senders.end_registration();
            self.renewed_at = None;
            return;
        }
        if was_listed {
            senders.record_renewed(now);
        } else {
            senders.record_registered(REGISTRATION_LEASE, now, now);
        }
        self.renewed_at = Some(now);
        self.due_at = now + RENEWAL_INTERVAL;
    }
}

fn criteria(limit: usize, entry_hosts: usize) -> DispatchCriteria<'static> {
    DispatchCriteria {
        service: "app",
        model: None,
        tried: &[],
        cold_limit: Some(ColdLimit::new(limit as f64, entry_hosts)),
        entry_hosts,
        max_running: f64::MAX,
        request_time: None,
    }
}

fn sends(dispatcher: &mut Dispatcher, criteria: &DispatchCriteria<'_>, now: Timestamp) -> bool {
    let mut directory = Directory::default();
    let mut cold = server(SERVERS[0], "app", "a");
    cold.cold_until = Some(now + SECOND);
    directory.put(cold);
    let mut rng = SmallRng::seed_from_u64(1);
    dispatcher
        .choose(&directory, criteria, now, &mut rng)
        .is_ok()
}

/// Guards against entry hosts with a stale list that go on sending beside a replacement that
/// they do not know, and against others that take the place of one that still sends.
#[test]
fn entry_hosts_with_differing_lists_keep_the_limit_of_a_cold_server() {
    for entry_hosts in [8, 10, 11, 14] {
        for seed in 1..=20 {
            let mut simulation = Simulation::new(seed, entry_hosts);
            simulation.disturb(seed % 2 == 0);

            simulation.run();

            let most = simulation.most_per_second();
            assert!(
                (1..=LIMIT).contains(&most),
                "{most} requests in a second: {entry_hosts} entry hosts, seed {seed}"
            );
        }
    }
}

/// Guards against rules that keep the limit by using fewer senders than it allows, so that
/// servers warm up slowly: in a steady state and after all disturbances are over.
#[test]
fn a_cold_server_gets_requests_from_as_many_entry_hosts_as_it_can_take() {
    for (entry_hosts, is_disturbed) in [(10, false), (60, false), (16, true)] {
        let mut simulation = Simulation::new(1, entry_hosts);
        if is_disturbed {
            simulation.disturb(false);
        }

        simulation.run();

        for id in SERVERS {
            let senders = simulation.last_senders(id).len();
            assert_eq!(senders, LIMIT, "{entry_hosts} entry hosts, {id}");
        }
    }
}

/// Guards against waits that never end, and against one entry host that gets no share where
/// each has one.
#[test]
fn few_entry_hosts_send_their_whole_shares() {
    let mut simulation = Simulation::new(1, 2);

    simulation.run();

    assert_eq!(simulation.most_per_second(), LIMIT);
}

/// Guards against an entry host that goes on sending after the others may have dropped it, or
/// with a list in which a newer entry host may be missing.
#[test]
fn an_entry_host_with_a_lapsed_registration_or_a_stale_list_sends_nothing() {
    let names = ["e0".to_owned()];
    let later = START + REGISTRATION_LEASE;
    for (renewed, confirmed) in [(true, true), (false, true), (true, false)] {
        let mut dispatcher = settled_dispatcher("e0", &names, START);
        if renewed {
            dispatcher.senders_mut().record_renewed(later);
        }
        if confirmed {
            dispatcher.senders_mut().confirm_list(later);
        }

        let is_sent = sends(&mut dispatcher, &criteria(LIMIT, 1), later);

        assert_eq!(is_sent, renewed && confirmed, "{renewed} {confirmed}");
    }
}

/// Guards against an entry host that takes the place of one that may still send, as its
/// registration was removed a moment ago.
#[test]
fn an_entry_host_that_is_gone_counts_until_it_certainly_sends_nothing() {
    let names = ["e0".to_owned(), "e1".to_owned()];
    let ranks_second = |name: &&String| {
        let mut dispatcher = settled_dispatcher(name, &names, START);
        !sends(&mut dispatcher, &criteria(1, 2), START)
    };
    let second = names.iter().find(ranks_second).expect("one of two");
    let mut dispatcher = settled_dispatcher(second, &names, START);
    let senders = dispatcher.senders_mut();
    senders.set_entry_hosts([second.clone()], START);

    let sent = [0, 6, 7, 8].map(|s| {
        let now = START + SECOND * s;
        dispatcher.senders_mut().record_renewed(now);
        dispatcher.senders_mut().confirm_list(now);
        sends(&mut dispatcher, &criteria(1, 2), now)
    });

    assert_eq!(sent, [false, false, false, true]);
}
