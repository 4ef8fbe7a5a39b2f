//! Property tests with random schedules of entry hosts, an engine and a lossy
//! network.

use std::time::Duration;

use geranium_core::limit::{
    ColdBudgetHolder, ColdCreditUser, ColdOutcome, CreditGrant, CreditRequest,
};
use geranium_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fixture::{BUDGET, HOSTS, LEASE, START, cold_group, settings, user};

/// A step of a random schedule; host and message indices are taken modulo their
/// number.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    RequestCredits(usize),
    Start(usize),
    End(usize),
    Deliver(usize),
    Drop(usize),
    Duplicate(usize),
    Report,
    Pause(usize),
    Resume(usize),
    Crash(usize),
    EngineEndsOrphan,
    Lease(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, CreditRequest),
    Grant(usize, CreditGrant),
    /// Receiving host, time of measurement on the simulation clock, load.
    Report(usize, Timestamp, u32),
}

#[derive(Debug)]
struct EntryHost {
    user: ColdCreditUser,
    holder: ColdBudgetHolder,
    incarnation: u64,
    paused: bool,
    running: u32,
    clock_ahead: Duration,
}

/// Simulation of entry hosts, an engine and a network that loses, duplicates and
/// reorders messages.
#[derive(Debug)]
struct Simulation {
    now: Timestamp,
    hosts: Vec<EntryHost>,
    network: Vec<Message>,
    orphans: u32,
    lease: Option<(usize, Timestamp)>,
    outcome: ColdOutcome,
    peak_budget: u32,
    starts: u32,
}

impl Simulation {
    fn new(outcome: ColdOutcome) -> Self {
        let host = |i: usize| EntryHost {
            user: user(i, 1),
            holder: ColdBudgetHolder::new(settings()),
            incarnation: 1,
            paused: false,
            running: 0,
            clock_ahead: Duration::from_secs(1_000 * i as u64),
        };
        let mut sim = Self {
            now: START,
            hosts: (0..HOSTS).map(host).collect(),
            network: Vec::new(),
            orphans: 0,
            lease: None,
            outcome,
            peak_budget: BUDGET,
            starts: 0,
        };
        for i in 0..HOSTS {
            sim.add_group(i);
        }
        sim
    }

    fn add_group(&mut self, i: usize) {
        let now = self.clock(i);
        self.hosts[i].holder.update_groups(now, &[cold_group()]);
    }

    fn clock(&self, i: usize) -> Timestamp {
        self.now + self.hosts[i].clock_ahead
    }

    fn running(&self) -> u32 {
        self.hosts.iter().map(|h| h.running).sum::<u32>() + self.orphans
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::RequestCredits(i) => self.unless_paused(i, Self::request_credits),
            Step::Start(i) => self.unless_paused(i, Self::start),
            Step::End(i) => self.unless_paused(i, |sim, i| sim.end(i, sim.outcome)),
            Step::Deliver(i) if !self.network.is_empty() => {
                let i = i % self.network.len();
                let message = self.network.remove(i);
                self.deliver(message);
            }
            Step::Drop(i) if !self.network.is_empty() => {
                let i = i % self.network.len();
                self.network.swap_remove(i);
            }
            Step::Duplicate(i) if !self.network.is_empty() => {
                let message = self.network[i % self.network.len()].clone();
                self.network.push(message);
            }
            Step::Report => {
                let load = self.running();
                let reports = (0..HOSTS).map(|i| Message::Report(i, self.now, load));
                self.network.extend(reports);
            }
            Step::Pause(i) => self.hosts[i % HOSTS].paused = true,
            Step::Resume(i) => self.hosts[i % HOSTS].paused = false,
            Step::Crash(i) => self.crash(i % HOSTS),
            Step::EngineEndsOrphan => self.orphans = self.orphans.saturating_sub(1),
            Step::Lease(i) => self.unless_paused(i, Self::lease),
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => {}
        }
        let budgets = self
            .hosts
            .iter()
            .filter_map(|h| h.holder.budget(&cold_group().group));
        self.peak_budget = budgets.fold(self.peak_budget, u32::max);
        prop_assert!(
            self.running() <= self.peak_budget,
            "{} requests run on a budget of {}",
            self.running(),
            self.peak_budget
        );
        Ok(())
    }

    fn unless_paused(&mut self, i: usize, f: impl FnOnce(&mut Self, usize)) {
        let i = i % HOSTS;
        if !self.hosts[i].paused {
            f(self, i);
        }
    }

    fn request_credits(&mut self, i: usize) {
        let now = self.clock(i);
        for _ in self.hosts[i].user.expired(now) {
            while self.hosts[i].running > 0 {
                self.end(i, ColdOutcome::Cancelled);
            }
        }
        let user = &mut self.hosts[i].user;
        user.set_wanted(&cold_group().group, 1, 2 + i as u32);
        let requests = user.requests_due(now);
        // The request is delivered to whichever host holds the authority by then.
        self.network
            .extend(requests.into_iter().map(|req| Message::Request(i, req)));
    }

    fn start(&mut self, i: usize) {
        let now = self.clock(i);
        if self.hosts[i].user.try_start(now, &cold_group().group, 1) {
            self.hosts[i].running += 1;
            self.starts += 1;
        }
    }

    fn end(&mut self, i: usize, outcome: ColdOutcome) {
        let host = &mut self.hosts[i];
        if host.running > 0 {
            host.running -= 1;
            host.user.ended(&cold_group().group, 1, outcome);
        }
    }

    fn deliver(&mut self, message: Message) {
        let group = cold_group().group;
        match message {
            Message::Request(from, req) => {
                // Former holders may still receive requests.
                for i in 0..HOSTS {
                    let now = self.clock(i);
                    if self.hosts[i].paused {
                        continue;
                    }
                    if let Ok(grant) = self.hosts[i].holder.request(now, &req) {
                        self.network.push(Message::Grant(from, grant));
                    }
                }
            }
            Message::Grant(to, grant) => {
                let now = self.clock(to);
                if !self.hosts[to].paused {
                    self.hosts[to].user.granted(now, &grant);
                }
            }
            Message::Report(to, measured_at, load) => {
                let measured_at = measured_at + self.hosts[to].clock_ahead;
                self.hosts[to]
                    .holder
                    .observe_load(&group, measured_at, load);
            }
        }
    }

    /// Crashes and restarts a host; its requests keep running until the engine
    /// notices.
    fn crash(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.incarnation += 1;
        host.user = user(i, host.incarnation);
        host.holder = ColdBudgetHolder::new(settings());
        host.paused = false;
        self.orphans += host.running;
        host.running = 0;
        self.add_group(i);
    }

    /// Acquires or renews the lease, which ends for the holder and all other hosts at
    /// the same time of the simulation clock.
    fn lease(&mut self, i: usize) {
        let free = self.lease.is_none_or(|(_, until)| self.now >= until);
        let i = match self.lease {
            Some((holder, _)) if !free => holder,
            _ => i,
        };
        if self.hosts[i].paused {
            return;
        }
        let until = self.now + LEASE;
        self.lease = Some((i, until));
        let now = self.clock(i);
        let until = until + self.hosts[i].clock_ahead;
        self.hosts[i].holder.extend_authority(now, until);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        200 => (1_u64..100).prop_map(Step::Advance),
        1 => (2_000_u64..8_000).prop_map(Step::Advance),
        80 => any::<usize>().prop_map(Step::RequestCredits),
        160 => any::<usize>().prop_map(Step::Start),
        60 => any::<usize>().prop_map(Step::End),
        300 => Just(Step::Deliver(0)),
        60 => any::<usize>().prop_map(Step::Deliver),
        10 => any::<usize>().prop_map(Step::Drop),
        10 => any::<usize>().prop_map(Step::Duplicate),
        40 => Just(Step::Report),
        5 => any::<usize>().prop_map(Step::Pause),
        60 => any::<usize>().prop_map(Step::Resume),
        2 => any::<usize>().prop_map(Step::Crash),
        40 => Just(Step::EngineEndsOrphan),
        60 => any::<usize>().prop_map(Step::Lease),
    ]
}

/// Runs random schedules and returns the total number of requests started.
fn run_schedules(outcome: ColdOutcome, cases: u32) -> u32 {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let starts = std::cell::Cell::new(0);
    let schedules = prop::collection::vec(step(), 1_000..2_000);
    let result = runner.run(&schedules, |steps| {
        let mut sim = Simulation::new(outcome);
        for step in &steps {
            sim.apply(step)?;
        }
        starts.set(starts.get() + sim.starts);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
    starts.get()
}

#[test]
fn requests_on_a_cold_group_never_exceed_its_budget_under_faults() {
    let starts = run_schedules(ColdOutcome::Cancelled, 60);

    assert!(starts > 1_000, "only {starts} requests started");
}

#[test]
fn requests_on_a_growing_budget_never_exceed_it_under_faults() {
    let starts = run_schedules(ColdOutcome::Succeeded, 60);

    assert!(starts > 1_000, "only {starts} requests started");
}
