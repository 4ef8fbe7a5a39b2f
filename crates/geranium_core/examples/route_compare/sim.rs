//! The discrete-event simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, ModelSpec};
use geranium_core::route::{
    CacheEvent, Dispatch, NoColdCredits, RoutePolicy, RouteQuery, Router, RouterSettings,
};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::{Engine, Prefill};
use crate::load::{LoadSettings, Request, requests};

/// Maximum number of running and waiting requests of an engine.
const WARM_CONCURRENCY: u32 = 64;
const MICROS_PER_SEC: f64 = 1e6;

/// Measurements of one simulation run.
#[derive(Debug)]
pub struct Outcome {
    /// Time to the first token, in milliseconds.
    pub first_token_millis: Histogram<u64>,
    /// Number of requests that were not routed to any group.
    pub refused: u64,
    cached_blocks: u64,
    blocks: u64,
    /// Total time of the requests of each group, in microseconds.
    busy_micros: Vec<u64>,
}

impl Outcome {
    fn new(groups: usize) -> Self {
        let bounds = Histogram::new_with_bounds(1, 3_600_000, 3);
        Self {
            first_token_millis: bounds.expect("valid bounds"),
            refused: 0,
            cached_blocks: 0,
            blocks: 0,
            busy_micros: vec![0; groups],
        }
    }

    /// Returns the fraction of prompt blocks that were found in a cache.
    pub fn hit_ratio(&self) -> f64 {
        self.cached_blocks as f64 / self.blocks as f64
    }

    /// Returns the total request time of the busiest group relative to the mean.
    pub fn imbalance(&self) -> f64 {
        let max = self.busy_micros.iter().max().copied().unwrap_or(0);
        let sum: u64 = self.busy_micros.iter().sum();
        max as f64 * self.busy_micros.len() as f64 / sum as f64
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    FirstToken(usize),
    End(usize),
    CollectReports,
    DeliverReports(Vec<(u32, u32)>),
    /// Delivery of a cache event, by its index in `cache_events`.
    Cache(usize),
    SetSlow(bool),
}

#[derive(Debug, Default)]
struct Progress {
    group: usize,
    dispatch: Option<Dispatch>,
    cached: usize,
}

/// A simulation of entry hosts that route requests to a set of groups.
pub struct Simulation<P> {
    settings: LoadSettings,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    routers: Vec<Router<P>>,
    engines: Vec<Engine>,
    groups: Vec<ServingGroup>,
    sequences: Vec<u64>,
    cache_events: Vec<CacheEvent>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    rng: SmallRng,
    outcome: Outcome,
}

impl<P: RoutePolicy + Clone> Simulation<P> {
    /// Creates a simulation in which every entry host uses the same policy.
    pub fn new(policy: P, settings: &LoadSettings) -> Self {
        let groups: Vec<_> = (0..settings.groups).map(group).collect();
        let local = FailureDomainId::new("d1");
        let mut router = Router::with_policy(local, RouterSettings::default(), policy);
        router.update_records(&[record()]);
        router.update_groups(Timestamp(0), &groups);
        let requests = requests(settings);
        let engine = Engine::new(settings.slots, settings.cache_blocks);
        Self {
            progress: requests.iter().map(|_| Progress::default()).collect(),
            requests,
            routers: vec![router; settings.entry_hosts],
            engines: vec![engine; settings.groups],
            sequences: vec![0; settings.groups],
            groups,
            cache_events: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: SmallRng::seed_from_u64(settings.seed + 1),
            outcome: Outcome::new(settings.groups),
            settings: settings.clone(),
        }
    }

    /// Simulates the complete load and returns the measurements.
    pub fn run(mut self) -> Outcome {
        for i in 0..self.requests.len() {
            self.push(self.requests[i].at, Event::Arrival(i));
        }
        let duration = self.settings.duration.as_micros() as u64;
        self.push(duration / 3, Event::SetSlow(true));
        self.push(duration * 2 / 3, Event::SetSlow(false));
        self.push(0, Event::CollectReports);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            self.handle(now, event);
        }
        self.outcome
    }

    fn push(&mut self, at: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(i) => self.arrive(now, i),
            Event::FirstToken(i) => self.first_token(now, i),
            Event::End(i) => self.end(now, i),
            Event::CollectReports => self.collect_reports(now),
            Event::DeliverReports(loads) => self.deliver_reports(now, &loads),
            Event::Cache(i) => {
                for router in &mut self.routers {
                    router.cache_event(&self.cache_events[i]);
                }
            }
            Event::SetSlow(slow) => {
                let factor = if slow {
                    self.settings.straggler_factor
                } else {
                    1.0
                };
                self.engines[self.settings.straggler].slow_factor = factor;
            }
        }
    }

    fn arrive(&mut self, now: u64, i: usize) {
        let req = &self.requests[i];
        let router = &mut self.routers[req.entry_host];
        let query = RouteQuery {
            model: &ModelId::new("m"),
            account: &AccountId::new("a"),
            prefix: &req.prompt,
            exclude: &[],
            forwarded: false,
        };
        let now_ts = Timestamp(now);
        let Ok(choice) = router.choose(now_ts, &query, &NoColdCredits, &mut self.rng) else {
            self.outcome.refused += 1;
            return;
        };
        let dispatch = router.started(now_ts, &choice, &req.prompt);
        let is_chosen = |g: &ServingGroup| g.group == choice.group;
        let group = self.groups.iter().position(is_chosen);
        let group = group.expect("a group of the simulation");
        self.progress[i].group = group;
        self.progress[i].dispatch = Some(dispatch);
        self.engines[group].waiting.push_back(i);
        self.start_waiting(now, group);
    }

    fn start_waiting(&mut self, now: u64, group: usize) {
        while self.engines[group].has_free_slot() {
            let Some(i) = self.engines[group].waiting.pop_front() else {
                return;
            };
            let prefill = self.engines[group].prefill(now, &self.requests[i].prompt);
            self.progress[i].cached = prefill.cached;
            self.push(prefill.done_at, Event::FirstToken(i));
            self.publish(group, prefill);
        }
    }

    fn publish(&mut self, group: usize, prefill: Prefill) {
        for change in prefill.changes {
            self.sequences[group] += 1;
            if self.rng.random::<f64>() < self.settings.event_loss_rate {
                continue;
            }
            let max_delay = self.settings.max_event_delay.as_micros() as u64;
            let at = prefill.done_at + self.rng.random_range(0..max_delay);
            self.cache_events.push(CacheEvent {
                group: self.groups[group].group.clone(),
                generation: 1,
                sequence: self.sequences[group],
                change,
            });
            self.push(at, Event::Cache(self.cache_events.len() - 1));
        }
    }

    fn first_token(&mut self, now: u64, i: usize) {
        let req = &self.requests[i];
        let progress = &mut self.progress[i];
        let waited = now - req.at;
        let dispatch = progress.dispatch.as_mut().expect("a started request");
        let router = &mut self.routers[req.entry_host];
        router.first_token(Timestamp(now), dispatch, Duration::from_micros(waited));
        self.outcome
            .first_token_millis
            .saturating_record(waited / 1_000);
        self.outcome.cached_blocks += progress.cached as u64;
        self.outcome.blocks += req.prompt.len() as u64;
        self.push(now + req.decode_micros, Event::End(i));
    }

    fn end(&mut self, now: u64, i: usize) {
        let req = &self.requests[i];
        let group = self.progress[i].group;
        self.outcome.busy_micros[group] += now - req.at;
        let router = &mut self.routers[req.entry_host];
        let dispatch = self.progress[i].dispatch.take();
        router.finished(Timestamp(now), dispatch.expect("a started request"));
        self.engines[group].running -= 1;
        self.start_waiting(now, group);
    }

    fn collect_reports(&mut self, now: u64) {
        let engines = self.engines.iter();
        let loads = engines.map(|e| (e.running, e.waiting.len() as u32));
        let event = Event::DeliverReports(loads.collect());
        self.push(now + self.settings.report_lag.as_micros() as u64, event);
        if now < self.settings.duration.as_micros() as u64 {
            let interval = self.settings.report_interval.as_micros() as u64;
            self.push(now + interval, Event::CollectReports);
        }
    }

    fn deliver_reports(&mut self, now: u64, loads: &[(u32, u32)]) {
        for (group, &(running, waiting)) in self.groups.iter_mut().zip(loads) {
            group.running = running;
            group.waiting = waiting;
            // Changes with each report, as the free cache space of a real engine does.
            group.kv_free_tokens = (now as f64 / MICROS_PER_SEC * 10.0) as u64;
        }
        for router in &mut self.routers {
            router.update_groups(Timestamp(now), &self.groups);
        }
    }
}

fn group(i: usize) -> ServingGroup {
    ServingGroup {
        group: GroupId::new(format!("g{i}")),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new("d1"),
        fabric_domain: FabricDomainId::new("d1.f0"),
        head: HostId::new(format!("g{i}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Warm,
        running: 0,
        waiting: 0,
        kv_free_tokens: 0,
        cold_concurrency: 2,
        warm_concurrency: WARM_CONCURRENCY,
    }
}

fn record() -> ModelSpec {
    ModelSpec {
        name: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        weights: "w".into(),
        version: "1".into(),
        adapters: Vec::new(),
        hosts_per_replica: 2,
        placements: Vec::new(),
        accounts: vec![AccountShare {
            account: AccountId::new("a"),
            weight: 1,
        }],
        cold_concurrency: 2,
        warm_concurrency: WARM_CONCURRENCY,
    }
}
