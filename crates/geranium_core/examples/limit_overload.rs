//! Simulates admission control under overload and the retry budget during failures.
//!
//! ```text
//! cargo run --release -p geranium_core --example limit_overload -- [SEED]
//! ```

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::limit::{
    AccountLimit, Admission, AdmissionChange, AdmissionOutcome, AdmissionRequest,
    AdmissionSettings, RetryBudget, RetryBudgetSettings, Ticket,
};
use geranium_core::prelude::*;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DEFAULT_SEED: u64 = 1;
const CAPACITY: u32 = 32;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(120);
const TICK: Duration = Duration::from_millis(50);
/// Name, weight and request rate per second of each account. With 32 slots and a
/// mean service time of 1 s, the capacity is about 32 requests per second.
const ACCOUNTS: [(&str, u32, f64); 3] = [("large", 3, 45.0), ("small", 1, 4.0), ("burst", 1, 8.0)];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(Ticket),
    Tick,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    answered: u32,
}

struct Overload {
    admission: Admission,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    open_tickets: HashMap<Ticket, (usize, Timestamp)>,
    counts: [Counts; ACCOUNTS.len()],
    refused_after: Histogram<u64>,
    waited: Histogram<u64>,
    retry_after: Histogram<u64>,
    busy: Duration,
}

impl Overload {
    fn new(seed: u64) -> Self {
        let limits = ACCOUNTS.map(|(account, weight, _)| AccountLimit {
            account: AccountId::new(account),
            weight,
            max_concurrent: CAPACITY,
        });
        let mut admission = Admission::new(AdmissionSettings::default(), seed);
        admission.set_accounts(Timestamp(0), &limits);
        admission.set_capacity(Timestamp(0), CAPACITY);
        Self {
            admission,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            open_tickets: HashMap::default(),
            counts: [Counts::default(); ACCOUNTS.len()],
            refused_after: histogram(),
            waited: histogram(),
            retry_after: histogram(),
            busy: Duration::ZERO,
        }
    }

    fn run(mut self) -> Self {
        for account in 0..ACCOUNTS.len() {
            self.push_arrival(Timestamp(0), account);
        }
        self.events.push(Reverse((Timestamp(0), Event::Tick)));
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now.since(Timestamp(0)) >= DURATION {
                break;
            }
            match event {
                Event::Arrival(account) => self.arrive(now, account),
                Event::End(ticket) => {
                    if let Some((account, _)) = self.open_tickets.remove(&ticket) {
                        self.counts[account].answered += 1;
                    }
                    let change = self.admission.finished(now, ticket);
                    self.apply(now, change);
                }
                Event::Tick => {
                    let change = self.admission.tick(now);
                    self.apply(now, change);
                    self.events.push(Reverse((now + TICK, Event::Tick)));
                }
            }
        }
        self
    }

    fn push_arrival(&mut self, now: Timestamp, account: usize) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / ACCOUNTS[account].2;
        let at = now + Duration::from_secs_f64(gap);
        self.events.push(Reverse((at, Event::Arrival(account))));
    }

    fn arrive(&mut self, now: Timestamp, account: usize) {
        self.push_arrival(now, account);
        self.counts[account].requests += 1;
        let req = AdmissionRequest {
            account: &AccountId::new(ACCOUNTS[account].0),
            priority: 5,
            deadline: now + REQUEST_TIMEOUT,
        };
        match self.admission.submit(now, &req) {
            AdmissionOutcome::Admitted(ticket) => {
                self.open_tickets.insert(ticket, (account, now));
                self.waited.saturating_record(0);
                self.start(now, ticket);
            }
            AdmissionOutcome::Queued(ticket) => {
                self.open_tickets.insert(ticket, (account, now));
            }
            AdmissionOutcome::Refused(refusal) => {
                self.refused_after.saturating_record(0);
                let retry_after = refusal.retry_after().unwrap_or_default();
                self.retry_after
                    .saturating_record(retry_after.as_millis() as u64);
            }
        }
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket) {
        let service = Duration::from_millis(self.rng.random_range(500..1_500));
        self.busy += service;
        self.events
            .push(Reverse((now + service, Event::End(ticket))));
    }

    fn apply(&mut self, now: Timestamp, change: AdmissionChange) {
        for refused in change.refused {
            if let Some((_, queued_at)) = self.open_tickets.remove(&refused.ticket) {
                let queued_for = now.since(queued_at).as_millis() as u64;
                self.refused_after.saturating_record(queued_for);
            }
        }
        for started in change.started {
            let waited = started.waited.as_millis() as u64;
            self.waited.saturating_record(waited);
            self.start(now, started.ticket);
        }
    }

    fn print(&self) {
        let slot_time = DURATION.as_secs_f64() * f64::from(CAPACITY);
        println!(
            "slots in use    {:.1} %",
            self.busy.as_secs_f64() / slot_time * 100.0
        );
        for ((name, weight, rate), counts) in ACCOUNTS.iter().zip(&self.counts) {
            println!(
                "{name:<8} weight {weight}, {rate} requests/s: {} answered of {} ({:.1}/s)",
                counts.answered,
                counts.requests,
                f64::from(counts.answered) / DURATION.as_secs_f64()
            );
        }
        print_quantiles("queueing time, ms", &self.waited);
        print_quantiles("time to refusal, ms", &self.refused_after);
        print_quantiles("retry-after, ms", &self.retry_after);
        let at_once = self.refused_after.count_at(0) as f64;
        let refused = self.refused_after.len().max(1) as f64;
        println!(
            "refused at once {:.1} % of {refused}",
            at_once / refused * 100.0
        );
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000, 3).expect("valid bounds")
}

fn print_quantiles(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name:<26} p50 {}, p99 {}, max {}",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max()
    );
}

/// Sends 1,000 requests per second to three failure domains, one of which is
/// unreachable for ten seconds; returns the attempts and answers in that time.
fn one_domain_unreachable(seed: u64, budget: Option<RetryBudgetSettings>) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = budget.map(RetryBudget::new);
    let (mut attempts, mut answers) = (0, 0);
    for i in 0..40_000_u64 {
        let now = Timestamp::from_millis(i);
        let unreachable = (10_000..20_000).contains(&i);
        if let Some(budget) = &mut budget {
            budget.request(now);
        }
        // Attempts select their domain independently of each other, as at the moment
        // of the failure, when it is not yet known.
        for _ in 0..4 {
            attempts += u32::from(unreachable);
            if !(unreachable && rng.random_range(0..3) == 0) {
                answers += u32::from(unreachable);
                break;
            }
            if budget.as_mut().is_some_and(|b| !b.try_retry(now)) {
                break;
            }
        }
    }
    (attempts, answers)
}

/// Like [`one_domain_unreachable`], but with all domains unreachable, as in a
/// network outage; returns the attempts.
fn all_domains_unreachable(budget: Option<RetryBudgetSettings>) -> u32 {
    let mut budget = budget.map(RetryBudget::new);
    let mut attempts = 0;
    for i in 0..10_000_u64 {
        let now = Timestamp::from_millis(i);
        if let Some(budget) = &mut budget {
            budget.request(now);
        }
        for _ in 0..4 {
            attempts += 1;
            if budget.as_mut().is_some_and(|b| !b.try_retry(now)) {
                break;
            }
        }
    }
    attempts
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let load: f64 = ACCOUNTS.iter().map(|(_, _, rate)| rate).sum();
    println!(
        "admission: {load} requests/s on about {CAPACITY}/s, deadline {REQUEST_TIMEOUT:?}, seed {seed}"
    );
    Overload::new(seed).run().print();
    println!();
    println!("10,000 requests in 10 s, up to 4 attempts each");
    for (name, budget) in [
        ("without budget", None),
        ("with budget", Some(RetryBudgetSettings::retries())),
    ] {
        let (attempts, answers) = one_domain_unreachable(seed, budget);
        println!(
            "{name:<15} one of three domains unreachable: {attempts} attempts, {answers} answers"
        );
        println!(
            "{name:<15} all domains unreachable: {} attempts",
            all_domains_unreachable(budget)
        );
    }
}
