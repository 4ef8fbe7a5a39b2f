//! The discrete-event simulation.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use geranium_core::once::{
    Batch, BatchOutcome, BatchWrite, ClaimAnswer, ClaimBatcher, ClaimBudget, ClaimCall,
    ClaimConfig, ClaimEffect, ClaimHolder, ClaimInput, ClaimRequest, Fingerprint, HolderStatus,
    ReadOutcome, UpstreamAnswer, UpstreamOutcome,
};
use geranium_core::prelude::*;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::store::{Store, exponential, one_way};
use crate::strategy::{HOST_TRANSACTIONS_PER_SECOND, Strategy, WINDOW_MICROS};

/// Random seed of every run.
const SEED: u64 = 28;

/// Number of entry hosts.
const HOSTS: usize = 8;

/// Time during which calls arrive, in microseconds.
const RUN_MICROS: u64 = 30_000_000;

/// Mean service time of a call, in microseconds.
const SERVICE_MICROS: f64 = 30_000.0;

/// Fraction of calls that reuse the key of an earlier call.
const RESEND_SHARE: f64 = 0.01;

/// Size of a response body, in bytes.
const ANSWER_BYTES: usize = 500;

enum Event {
    Arrival,
    StoreApplies {
        host: usize,
        batch: Batch,
    },
    StoreAnswers {
        host: usize,
        id: u64,
        outcome: BatchOutcome,
    },
    ReadAnswers {
        call: u64,
        op: u64,
    },
    ServiceAnswers {
        call: u64,
        attempt: u32,
    },
    Wake {
        call: u64,
    },
    SenderWakes {
        host: usize,
    },
}

struct Host {
    budget: ClaimBudget,
    batcher: ClaimBatcher,
    wake_at: Option<u64>,
}

struct Call {
    claim_call: ClaimCall,
    host: usize,
    submitted: u64,
}

/// Measurements of one run.
pub struct Measurements {
    claim_micros: Histogram<u64>,
    offered: u64,
    refused: u64,
    done: u64,
    transactions: u64,
    writes: u64,
}

impl Measurements {
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.claim_micros.value_at_quantile(quantile) as f64 / 1e3
    }

    pub fn refused_percent(&self) -> f64 {
        self.refused as f64 / self.offered as f64 * 100.0
    }

    pub fn done_per_second(&self) -> f64 {
        self.done as f64 / (RUN_MICROS as f64 / 1e6)
    }

    pub fn transactions_per_second(&self) -> f64 {
        self.transactions as f64 / (RUN_MICROS as f64 / 1e6)
    }

    pub fn writes_per_transaction(&self) -> f64 {
        self.writes as f64 / self.transactions as f64
    }
}

/// A simulation of one strategy at one call rate.
pub struct Simulation {
    strategy: Strategy,
    rate: u32,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    rng: SmallRng,
    store: Store,
    hosts: Vec<Host>,
    calls: HashMap<u64, Call>,
    measurements: Measurements,
}

impl Simulation {
    pub fn new(strategy: Strategy, rate: u32) -> Self {
        let host = || Host {
            budget: ClaimBudget::new(HOST_TRANSACTIONS_PER_SECOND, 10.0),
            batcher: ClaimBatcher::new(strategy.batch_config()),
            wake_at: None,
        };
        Self {
            strategy,
            rate,
            now: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            rng: SmallRng::seed_from_u64(SEED),
            store: Store::default(),
            hosts: (0..HOSTS).map(|_| host()).collect(),
            calls: HashMap::new(),
            measurements: Measurements {
                claim_micros: Histogram::new(3).expect("valid precision"),
                offered: 0,
                refused: 0,
                done: 0,
                transactions: 0,
                writes: 0,
            },
        }
    }

    pub fn run(mut self) -> Measurements {
        self.schedule(0, Event::Arrival);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle(event);
        }
        self.measurements.transactions = self.store.transactions;
        self.measurements.writes = self.store.writes;
        self.measurements
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000) + Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::StoreApplies { host, batch } => {
                let outcome = self.store.apply(&batch);
                let after = one_way(&mut self.rng);
                let id = batch.id;
                self.schedule(after, Event::StoreAnswers { host, id, outcome });
            }
            Event::StoreAnswers { host, id, outcome } => {
                for result in self.hosts[host].batcher.finish(id, outcome) {
                    let (op, outcome) = (result.op, result.outcome);
                    self.step(result.call, ClaimInput::Written { op, outcome });
                }
                self.send(host);
            }
            Event::ReadAnswers { call, op } => {
                let key = self.calls[&call].claim_call.request().store_key();
                let outcome = ReadOutcome::Found(self.store.read(&key));
                self.step(call, ClaimInput::Read { op, outcome });
            }
            Event::ServiceAnswers { call, attempt } => {
                let outcome = UpstreamOutcome::Answered(UpstreamAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: vec![b'a'; ANSWER_BYTES].into(),
                });
                self.step(call, ClaimInput::Upstream { attempt, outcome });
            }
            Event::Wake { call } => self.step(call, ClaimInput::Tick),
            Event::SenderWakes { host } => {
                self.hosts[host].wake_at = None;
                self.send(host);
            }
        }
    }

    fn arrive(&mut self) {
        self.measurements.offered += 1;
        let nonce = self.measurements.offered;
        let host = self.rng.random_range(0..HOSTS);
        let resend = nonce > 100 && self.rng.random_bool(RESEND_SHARE);
        let key = if resend { nonce - 100 } else { nonce };
        let request = ClaimRequest {
            request: RequestId::new("request"),
            account: AccountId::new("account"),
            key: format!("key-{key}").parse().expect("valid key"),
            key_issued_at: None,
            fingerprint: Fingerprint::of("POST", "/", b""),
            deadline: self.time() + Duration::from_secs(10),
        };
        let holder = ClaimHolder {
            host: HostId::new(format!("entry-{host}")),
            incarnation: Incarnation(1),
            nonce,
        };
        let now = self.time();
        let cfg = ClaimConfig::default();
        let (claim_call, effects) = if self.strategy == Strategy::Unbatched {
            ClaimCall::submit(cfg, request, holder, &mut self.hosts[host].budget, now)
        } else {
            ClaimCall::submit(cfg, request, holder, &mut self.hosts[host].batcher, now)
        };
        let call = Call {
            claim_call,
            host,
            submitted: self.now,
        };
        self.calls.insert(nonce, call);
        self.apply_effects(nonce, effects);
        let next = exponential(1e6 / f64::from(self.rate), &mut self.rng);
        if self.now + next < RUN_MICROS {
            self.schedule(next, Event::Arrival);
        }
    }

    fn step(&mut self, call: u64, input: ClaimInput) {
        let now = self.time();
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        let effects = state.claim_call.step(now, input);
        self.apply_effects(call, effects);
    }

    fn apply_effects(&mut self, call: u64, effects: Vec<ClaimEffect>) {
        let (host, submitted) = (self.calls[&call].host, self.calls[&call].submitted);
        let mut holders = Vec::new();
        for effect in effects {
            match effect {
                ClaimEffect::Write {
                    op,
                    key,
                    claim,
                    expected,
                } => {
                    self.hosts[host].batcher.push(BatchWrite {
                        call,
                        op,
                        key,
                        value: claim.encode(),
                        expected,
                    });
                    self.schedule_send(host);
                }
                ClaimEffect::Read { op, .. } => {
                    let after = one_way(&mut self.rng) + one_way(&mut self.rng);
                    self.schedule(after, Event::ReadAnswers { call, op });
                }
                ClaimEffect::Dispatch { attempt, .. } => {
                    let waited = self.now - submitted;
                    self.measurements
                        .claim_micros
                        .record(waited)
                        .expect("in range");
                    let after = exponential(SERVICE_MICROS, &mut self.rng);
                    self.schedule(after, Event::ServiceAnswers { call, attempt });
                }
                ClaimEffect::CheckHolder { holder } => holders.push(holder),
                ClaimEffect::Answer(ClaimAnswer::Done(_)) => self.measurements.done += 1,
                ClaimEffect::Answer(ClaimAnswer::NotRun(_)) => self.measurements.refused += 1,
                ClaimEffect::Answer(_) | ClaimEffect::Emit(_) => {}
            }
        }
        for holder in holders {
            let status = HolderStatus::Live;
            self.step(call, ClaimInput::Holder { holder, status });
        }
        self.remove_or_schedule_wake(call);
    }

    /// Removes a call that has ended; otherwise schedules its next tick.
    fn remove_or_schedule_wake(&mut self, call: u64) {
        let Some(state) = self.calls.get(&call) else {
            return;
        };
        if state.claim_call.is_ended() {
            self.calls.remove(&call);
            return;
        }
        if let Some(wake) = state.claim_call.next_wake() {
            let wait = wake.since(self.time()).as_micros() as u64;
            self.schedule(wait, Event::Wake { call });
        }
    }

    fn schedule_send(&mut self, host: usize) {
        if self.strategy != Strategy::FixedWindow {
            self.send(host);
        } else if self.hosts[host].wake_at.is_none() {
            self.wake_sender(host, self.now + WINDOW_MICROS);
        }
    }

    fn wake_sender(&mut self, host: usize, at: u64) {
        self.hosts[host].wake_at = Some(at);
        self.schedule(at - self.now, Event::SenderWakes { host });
    }

    fn send(&mut self, host: usize) {
        if self.strategy == Strategy::FixedWindow && self.hosts[host].wake_at.is_some() {
            return;
        }
        let now = self.time();
        while let Some(batch) = self.hosts[host].batcher.next_batch(now) {
            let at = self.store.accept(self.now, &batch, &mut self.rng);
            self.schedule(at - self.now, Event::StoreApplies { host, batch });
        }
        let wake = self.hosts[host].batcher.next_wake();
        if let (Some(wake), None) = (wake, self.hosts[host].wake_at) {
            let wait = wake.since(now).as_micros() as u64;
            self.wake_sender(host, self.now + wait);
        }
    }
}
