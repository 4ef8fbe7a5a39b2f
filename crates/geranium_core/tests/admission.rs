//! Property tests of admission under random schedules, and tests of fair sharing.

use std::collections::BTreeMap;
use std::time::Duration;

use geranium_core::limit::{
    AccountLimit, Admission, AdmissionChange, AdmissionOutcome, AdmissionRefusal, AdmissionRequest,
    AdmissionSettings, Ticket,
};
use geranium_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const ACCOUNTS: [(&str, u32, u32); 3] = [("a", 3, 100), ("b", 1, 100), ("c", 1, 2)];
const CASES: u32 = 200;

fn limits() -> Vec<AccountLimit> {
    let limit = |(account, weight, max_concurrent)| AccountLimit {
        account: AccountId::new(account),
        weight,
        max_concurrent,
    };
    ACCOUNTS.into_iter().map(limit).collect()
}

fn admission(capacity: u32) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default(), 7);
    admission.set_accounts(START, &limits());
    admission.set_capacity(START, capacity);
    admission
}

fn submit(
    admission: &mut Admission,
    now: Timestamp,
    account: usize,
    priority: u8,
    deadline: Timestamp,
) -> AdmissionOutcome {
    let req = AdmissionRequest {
        account: &AccountId::new(ACCOUNTS[account].0),
        priority,
        deadline,
    };
    admission.submit(now, &req)
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Submit(usize, u8, u64),
    Finish(usize),
    Cancel(usize),
    Tick,
    Capacity(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u64..500).prop_map(Step::Advance),
        8 => (0..3_usize, 0..10_u8, 1_u64..20_000).prop_map(|(a, p, d)| Step::Submit(a, p, d)),
        6 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => Just(Step::Tick),
        1 => (0..8_u32).prop_map(Step::Capacity),
    ]
}

#[derive(Clone, Copy, Debug)]
struct Queued {
    account: usize,
    priority: u8,
    deadline: Timestamp,
}

/// Reference model of an admission, against which each step is checked.
struct Model {
    admission: Admission,
    now: Timestamp,
    capacity: u32,
    queued: BTreeMap<Ticket, Queued>,
    running: Vec<(Ticket, usize)>,
}

impl Model {
    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let before = self.running.len();
        match *step {
            Step::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
            Step::Submit(account, priority, millis) => self.submit(account, priority, millis)?,
            Step::Finish(i) if !self.running.is_empty() => {
                let (ticket, _) = self.running.remove(i % self.running.len());
                let change = self.admission.finished(self.now, ticket);
                self.check(&change)?;
            }
            Step::Cancel(i) if !self.queued.is_empty() => {
                let position = i % self.queued.len();
                let ticket = *self
                    .queued
                    .keys()
                    .nth(position)
                    .expect("position is in range");
                self.queued.remove(&ticket);
                let change = self.admission.cancelled(self.now, ticket);
                self.check(&change)?;
            }
            Step::Tick => {
                let change = self.admission.tick(self.now);
                self.check(&change)?;
            }
            Step::Capacity(capacity) => {
                self.capacity = capacity;
                let change = self.admission.set_capacity(self.now, capacity);
                self.check(&change)?;
            }
            Step::Finish(_) | Step::Cancel(_) => {}
        }
        self.check_limits(before)?;
        self.check_work_conserving()
    }

    fn submit(&mut self, account: usize, priority: u8, millis: u64) -> Result<(), TestCaseError> {
        let deadline = self.now + Duration::from_millis(millis);
        match submit(&mut self.admission, self.now, account, priority, deadline) {
            AdmissionOutcome::Admitted(ticket) => self.running.push((ticket, account)),
            AdmissionOutcome::Queued(ticket) => {
                let queued = Queued {
                    account,
                    priority,
                    deadline,
                };
                self.queued.insert(ticket, queued);
            }
            AdmissionOutcome::Refused(refusal) => check_retry_after(&refusal)?,
        }
        Ok(())
    }

    fn check(&mut self, change: &AdmissionChange) -> Result<(), TestCaseError> {
        for refused in &change.refused {
            let known = self.queued.remove(&refused.ticket);
            prop_assert!(known.is_some(), "{refused:?} was not queued");
            check_retry_after(&refused.refusal)?;
        }
        for started in &change.started {
            let Some(known) = self.queued.remove(&started.ticket) else {
                return Err(TestCaseError::fail("started a request that was not queued"));
            };
            prop_assert_eq!(started.deadline, known.deadline);
            prop_assert!(
                self.now < known.deadline,
                "{started:?} started after its deadline"
            );
            let overtaken = self.queued.iter().any(|(ticket, other)| {
                let same = other.account == known.account && other.priority == known.priority;
                same && *ticket < started.ticket
            });
            prop_assert!(!overtaken, "{started:?} overtook an equal request");
            self.running.push((started.ticket, known.account));
        }
        Ok(())
    }

    fn check_limits(&self, before: usize) -> Result<(), TestCaseError> {
        let running = self.running.len();
        prop_assert_eq!(self.admission.in_progress() as usize, running);
        prop_assert_eq!(self.admission.queued(), self.queued.len());
        prop_assert!(
            running <= before || running <= self.capacity as usize,
            "{running} requests run on a capacity of {}",
            self.capacity
        );
        for (account, (_, _, max_concurrent)) in ACCOUNTS.iter().enumerate() {
            let own = self.running.iter().filter(|(_, a)| *a == account).count();
            prop_assert!(own <= *max_concurrent as usize);
        }
        Ok(())
    }

    fn check_work_conserving(&self) -> Result<(), TestCaseError> {
        if self.running.len() >= self.capacity as usize {
            return Ok(());
        }
        for queued in self.queued.values() {
            let own = self.running.iter().filter(|(_, a)| *a == queued.account);
            let full = own.count() >= ACCOUNTS[queued.account].2 as usize;
            prop_assert!(full, "a slot is idle while {queued:?} could start");
        }
        Ok(())
    }
}

fn check_retry_after(refusal: &AdmissionRefusal) -> Result<(), TestCaseError> {
    let settings = AdmissionSettings::default();
    let longest = settings.max_retry_after.mul_f64(1.0 + settings.jitter);
    match refusal {
        AdmissionRefusal::UnknownAccount(_) => {
            Err(TestCaseError::fail("known account refused as unknown"))
        }
        AdmissionRefusal::DeadlinePassed(_) => Ok(()),
        _ => {
            let retry_after = refusal.retry_after().unwrap_or_default();
            prop_assert!(retry_after >= settings.min_retry_after);
            prop_assert!(retry_after <= longest);
            Ok(())
        }
    }
}

#[test]
fn admission_respects_its_limits_and_is_work_conserving() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let result = runner.run(&prop::collection::vec(step(), 50..300), |steps| {
        let mut model = Model {
            admission: admission(4),
            now: START,
            capacity: 4,
            queued: BTreeMap::new(),
            running: Vec::new(),
        };
        steps.iter().try_for_each(|step| model.apply(step))
    });

    if let Err(e) = result {
        panic!("{e}");
    }
}

/// Keeps only `b` backlogged for `alone` completions, then `a` and `b` for
/// `finishes` completions; returns how many requests of each started in the second
/// phase.
fn run_backlogged(priorities: [u8; 2], finishes: usize, alone: usize) -> [u32; 2] {
    let mut admission = admission(8);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut now = START;
    let mut running: BTreeMap<(Timestamp, Ticket), usize> = BTreeMap::new();
    let mut accounts: BTreeMap<Ticket, usize> = BTreeMap::new();
    let mut starts = [0; 2];
    let mut service = || Duration::from_millis(rng.random_range(50..150));
    for i in 0..alone + finishes {
        let accounts_now = if i < alone { [1, 1] } else { [0, 1] };
        for account in accounts_now {
            let deadline = now + Duration::from_hours(1);
            let priority = priorities[account];
            match submit(&mut admission, now, account, priority, deadline) {
                AdmissionOutcome::Admitted(ticket) => {
                    running.insert((now + service(), ticket), account);
                }
                AdmissionOutcome::Queued(ticket) => {
                    accounts.insert(ticket, account);
                }
                AdmissionOutcome::Refused(refusal) => panic!("{refusal}"),
            }
        }
        let Some(((ends, ticket), _)) = running.pop_first() else {
            continue;
        };
        now = now.max(ends);
        for started in admission.finished(now, ticket).started {
            let account = accounts[&started.ticket];
            starts[account] += u32::from(i >= alone);
            running.insert((now + service(), started.ticket), account);
        }
    }
    starts
}

#[test]
fn backlogged_accounts_share_slot_time_by_weight() {
    let [a, b] = run_backlogged([5, 5], 4_000, 0);

    let ratio = f64::from(a) / f64::from(b);
    assert!((2.7..3.3).contains(&ratio), "{a} starts of a, {b} of b");
}

#[test]
fn idle_account_gains_no_claim_on_later_slot_time() {
    let [a, b] = run_backlogged([5, 5], 4_000, 4_000);

    let ratio = f64::from(a) / f64::from(b);
    assert!((2.7..3.3).contains(&ratio), "{a} starts of a, {b} of b");
}

#[test]
fn low_priority_account_keeps_its_guaranteed_share_under_high_priority_load() {
    let [a, b] = run_backlogged([9, 0], 4_000, 0);

    // b has a weight of 1 out of 5, which guarantees it one of the eight slots.
    assert!(b * 8 > (a + b) * 9 / 10, "{a} starts of a, {b} of b");
    assert!(a > b * 6, "{a} starts of a, {b} of b");
}

#[test]
fn aging_raises_a_low_priority_within_its_account() {
    let mut admission = admission(1);
    let hour = Duration::from_hours(1);
    let first = submit(&mut admission, START, 0, 9, START + hour);
    let low = submit(&mut admission, START, 0, 0, START + hour);
    let later = START + Duration::from_secs(3);
    let high = submit(&mut admission, later, 0, 9, later + hour);
    let AdmissionOutcome::Admitted(first) = first else {
        panic!("first request was not admitted: {first:?}");
    };

    let started = admission.finished(later, first).started;

    assert_eq!(AdmissionOutcome::Queued(started[0].ticket), low);
    assert!(matches!(high, AdmissionOutcome::Queued(_)));
}

#[test]
fn surplus_capacity_is_allocated_by_priority() {
    let mut admission = admission(4);
    let hour = START + Duration::from_hours(1);
    // The guaranteed shares of the 4 slots are 2 for a and at least 1 for b and c.
    let running: Vec<_> = (0..4)
        .map(|_| submit(&mut admission, START, 0, 5, hour))
        .collect();
    let low = submit(&mut admission, START, 0, 5, hour);
    let _b_first = submit(&mut admission, START, 1, 1, hour);
    let b_second = submit(&mut admission, START, 1, 9, hour);
    let b_third = submit(&mut admission, START, 1, 9, hour);
    let mut order = Vec::new();

    for outcome in &running[..3] {
        let AdmissionOutcome::Admitted(ticket) = outcome else {
            panic!("request was not admitted: {outcome:?}");
        };
        let change = admission.finished(START, *ticket);
        order.extend(
            change
                .started
                .iter()
                .map(|s| AdmissionOutcome::Queued(s.ticket)),
        );
    }

    assert_eq!(order, [b_second, b_third, low]);
}

#[test]
fn request_is_queued_during_a_brief_loss_of_capacity() {
    let settings = AdmissionSettings::default();
    let account = AccountId::new("desk");
    let mut admission = Admission::new(settings, 1);
    let limit = AccountLimit {
        account: account.clone(),
        weight: 1,
        max_concurrent: 8,
    };
    let start = Timestamp::from_millis(1_000);
    admission.set_accounts(start, &[limit]);
    admission.set_capacity(start, 4);
    let gone = start + Duration::from_secs(1);
    admission.set_capacity(gone, 0);
    let req = AdmissionRequest {
        account: &account,
        priority: 5,
        deadline: gone + Duration::from_secs(10),
    };

    let soon = admission.submit(gone + Duration::from_millis(20), &req);
    let back = admission.set_capacity(gone + Duration::from_millis(40), 4);
    admission.set_capacity(gone + Duration::from_millis(60), 0);
    let late = admission.submit(
        gone + Duration::from_millis(60) + settings.zero_capacity_grace,
        &req,
    );

    assert!(matches!(soon, AdmissionOutcome::Queued(_)));
    assert_eq!(back.started.len(), 1);
    assert!(matches!(
        late,
        AdmissionOutcome::Refused(AdmissionRefusal::NoCapacity(..))
    ));
}
