//! The cold-start budget over several entry hosts, under faults.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::limit::{
    ColdBudgetHolder, ColdCreditUser, ColdOutcome, ColdSettings, CreditGrant, CreditRefusal,
    CreditRequest,
};
use geranium_core::prelude::*;
use geranium_core::route::ColdCredits;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const HOSTS: usize = 3;
const BUDGET: u32 = 3;
const LEASE: Duration = Duration::from_secs(4);

fn cold_group() -> ServingGroup {
    ServingGroup {
        group: GroupId::new("g1"),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new("d1"),
        fabric_domain: FabricDomainId::new("d1.f0"),
        head: HostId::new("h0"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Cold,
        running: 0,
        waiting: 0,
        kv_free_tokens: 1_000,
        cold_concurrency: BUDGET,
        warm_concurrency: 24,
    }
}

fn settings() -> ColdSettings {
    ColdSettings {
        run_limit: Duration::from_hours(24),
        ..ColdSettings::default()
    }
}

fn user(host: usize, incarnation: u64) -> ColdCreditUser {
    let name = HostId::new(format!("e{host}"));
    ColdCreditUser::new(name, Incarnation(incarnation), settings())
}

/// Returns a holder that has waited and knows that nothing runs.
fn ready_holder(now: Timestamp) -> ColdBudgetHolder {
    let mut holder = ColdBudgetHolder::new(settings());
    let gained = now - Duration::from_secs(10);
    holder.extend_authority(gained, now + Duration::from_secs(1_000));
    holder.update_groups(gained, &[cold_group()]);
    holder.observe_load(&cold_group().group, now, 0);
    holder
}

/// Exchanges one request and its answer between a user and a holder.
fn exchange(now: Timestamp, user: &mut ColdCreditUser, holder: &mut ColdBudgetHolder) {
    for req in user.requests_due(now) {
        if let Ok(grant) = holder.request(now, &req) {
            user.granted(now, &grant);
        }
    }
}

#[test]
fn credits_of_all_hosts_add_up_to_the_budget() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut users: Vec<_> = (0..HOSTS).map(|i| user(i, 1)).collect();

    for user in &mut users {
        user.want(&group, 1, 10);
        exchange(START, user, &mut holder);
    }

    let credits: u32 = users.iter().map(|u| u.available(START, &group, 1)).sum();
    assert_eq!(credits, BUDGET);
}

#[test]
fn budget_doubles_with_successes_and_falls_back_when_the_group_turns_cold() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    let mut now = START;
    for _ in 0..6 {
        user.want(&group, 1, BUDGET);
        exchange(now, &mut user, &mut holder);
        if user.try_start(now, &group, 1) {
            user.ended(&group, 1, ColdOutcome::Succeeded);
        }
        now = now + Duration::from_secs(1);
    }
    let grown = holder.budget(&group);

    let restarted = ServingGroup {
        generation: 2,
        ..cold_group()
    };
    holder.update_groups(now, &[restarted]);

    assert_eq!(grown, Some(BUDGET * 2));
    assert_eq!(holder.budget(&group), Some(BUDGET));
}

#[test]
fn warm_group_that_behaves_cold_needs_credits_until_it_has_warmed_up() {
    let group = cold_group().group;
    let warm = ServingGroup {
        temperature: Temperature::Warm,
        cold_concurrency: 1,
        warm_concurrency: 2,
        ..cold_group()
    };
    let mut holder = ColdBudgetHolder::new(settings());
    holder.extend_authority(START, START + Duration::from_secs(100));
    holder.update_groups(START, &[warm]);
    let mut user = user(0, 1);
    let mut now = START + Duration::from_secs(10);

    let news = user.mark_cold(&group, 1);
    user.want(&group, 1, 1);
    exchange(now, &mut user, &mut holder);
    let marked = user.marked_cold(&group, 1);
    let temperature = holder.temperature(&group);
    for _ in 0..6 {
        now = now + Duration::from_secs(1);
        holder.observe_load(&group, now, 0);
        exchange(now, &mut user, &mut holder);
        if user.try_start(now, &group, 1) {
            user.ended(&group, 1, ColdOutcome::Succeeded);
        }
    }

    let kinds: Vec<EventKind> = holder.take_events().iter().map(|e| e.kind).collect();
    assert_eq!(
        kinds,
        [
            EventKind::GroupCold,
            EventKind::ColdBudgetChanged,
            EventKind::GroupWarm
        ]
    );
    assert!(news && marked);
    assert_eq!(temperature, Some(Temperature::Cold));
    assert!(!user.marked_cold(&group, 1));
    assert_eq!(holder.temperature(&group), Some(Temperature::Warm));
}

#[test]
fn new_holder_renews_what_runs_but_grants_nothing_new_until_old_credits_expired() {
    let group = cold_group().group;
    let mut old = ready_holder(START);
    let mut user = user(0, 1);
    user.want(&group, 1, 2);
    exchange(START, &mut user, &mut old);
    assert!(user.try_start(START, &group, 1));
    let mut new = ColdBudgetHolder::new(settings());
    let takeover = START + Duration::from_secs(1);
    new.extend_authority(takeover, START + Duration::from_secs(100));
    new.update_groups(takeover, &[cold_group()]);

    user.want(&group, 1, 10);
    exchange(takeover, &mut user, &mut new);
    let held_early = user.available(takeover, &group, 1);
    let mut now = takeover;
    for _ in 0..10 {
        now = now + Duration::from_millis(500);
        new.observe_load(&group, now, 1);
        exchange(now, &mut user, &mut new);
    }

    assert!(held_early <= 1);
    assert_eq!(user.expired(now), []);
    assert!(user.available(now, &group, 1) >= 1);
}

#[test]
fn host_that_cannot_reach_the_holder_sends_nothing_cold_and_leaves() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.want(&group, 1, 2);
    exchange(START, &mut user, &mut holder);
    assert!(user.try_start(START, &group, 1));
    let later = START + settings().lifetime;

    let started = user.try_start(later, &group, 1);
    let expired = user.expired(later);

    assert!(!started);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].in_use, 1);
}

#[test]
fn paused_holder_whose_authority_lapsed_grants_nothing() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.want(&group, 1, 1);
    let woken = START + Duration::from_secs(2_000);
    let req = user.requests_due(woken).remove(0);

    let answer = holder.request(woken, &req);

    assert_eq!(answer, Err(CreditRefusal::NotHolder));
}

#[test]
fn late_grant_lives_only_as_long_as_counted_from_its_request() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.want(&group, 1, 2);
    let req = user.requests_due(START).remove(0);
    let grant = holder.request(START, &req).expect("a grant");
    let late = START + settings().lifetime - Duration::from_millis(1);

    user.granted(late, &grant);

    assert!(user.available(late, &group, 1) > 0);
    let after = late + Duration::from_millis(1);
    assert_eq!(user.available(after, &group, 1), 0);
    user.granted(after, &grant);
    assert_eq!(user.available(after, &group, 1), 0);
}

#[test]
fn answer_to_a_request_made_before_the_credits_expired_is_void() {
    let group = cold_group().group;
    let mut old = ready_holder(START);
    let mut user = user(0, 1);
    user.want(&group, 1, 1);
    exchange(START, &mut user, &mut old);
    let asked = START + settings().lifetime - Duration::from_millis(1);
    let req = user.requests_due(asked).remove(0);
    let mut new = ColdBudgetHolder::new(settings());
    new.extend_authority(asked, asked + Duration::from_secs(100));
    new.update_groups(asked, &[cold_group()]);
    let grant = new.request(asked, &req).expect("a renewal");
    let late = START + settings().lifetime + Duration::from_secs(1);

    user.granted(late, &grant);

    assert_eq!(user.available(late, &group, 1), 0);
}

#[test]
fn lapsed_credits_stay_taken_until_a_later_report_shows_that_they_are_free() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut paused = user(0, 1);
    paused.want(&group, 1, 3);
    exchange(START, &mut paused, &mut holder);
    let mut other = user(1, 1);
    let later = START + Duration::from_secs(5);
    other.want(&group, 1, 3);
    exchange(later, &mut other, &mut holder);
    let before = other.available(later, &group, 1);
    holder.observe_load(&group, START, 0);
    let later = later + Duration::from_secs(1);
    exchange(later, &mut other, &mut holder);
    let with_old_report = other.available(later, &group, 1);

    holder.observe_load(&group, later, 0);
    let later = later + Duration::from_secs(1);
    exchange(later, &mut other, &mut holder);

    assert_eq!(before, 1);
    assert_eq!(with_old_report, 1);
    assert_eq!(other.available(later, &group, 1), 2);
}

#[test]
fn lapsed_credits_are_free_after_the_longest_run_even_without_reports() {
    let group = cold_group().group;
    let limited = ColdSettings {
        run_limit: Duration::from_secs(60),
        ..settings()
    };
    let mut holder = ColdBudgetHolder::new(limited);
    holder.extend_authority(START, START + Duration::from_secs(1_000));
    holder.update_groups(START, &[cold_group()]);
    let mut user = user(0, 1);
    user.want(&group, 1, 3);
    let waited = START + Duration::from_secs(10);
    exchange(waited, &mut user, &mut holder);
    let without_report = user.available(waited, &group, 1);
    let after = START + Duration::from_secs(70);

    exchange(after, &mut user, &mut holder);

    assert_eq!(without_report, 0);
    assert!(user.available(after, &group, 1) > 0);
}

#[test]
fn shrunken_budget_counts_what_its_users_may_still_start() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let [mut greedy, mut modest, mut late] = [user(0, 1), user(1, 1), user(2, 1)];
    let mut now = START;
    for _ in 0..8 {
        modest.want(&group, 1, 1);
        exchange(now, &mut modest, &mut holder);
        greedy.want(&group, 1, 6);
        exchange(now, &mut greedy, &mut holder);
        if greedy.try_start(now, &group, 1) {
            greedy.ended(&group, 1, ColdOutcome::Succeeded);
        }
        now = now + Duration::from_secs(1);
    }
    let held = greedy.available(now, &group, 1);
    assert!(greedy.try_start(now, &group, 1));
    greedy.ended(&group, 1, ColdOutcome::Failed);

    let req = greedy.requests_due(now).remove(0);
    let unseen = holder.request(now, &req).expect("a smaller grant");
    now = now + Duration::from_secs(1);
    modest.want(&group, 1, 0);
    exchange(now, &mut modest, &mut holder);
    late.want(&group, 1, 6);
    exchange(now, &mut late, &mut holder);

    assert!(held > BUDGET);
    assert!(unseen.credits < BUDGET);
    assert_eq!(late.available(now, &group, 1), 0);
}

#[test]
fn host_that_wants_nothing_more_gives_its_credits_back() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let [mut first, mut second] = [user(0, 1), user(1, 1)];
    for step in 0..4 {
        first.want(&group, 1, BUDGET);
        let now = START + Duration::from_secs(step);
        exchange(now, &mut first, &mut holder);
    }
    let now = START + Duration::from_secs(4);
    second.want(&group, 1, 1);
    exchange(now, &mut second, &mut holder);
    let before = second.available(now, &group, 1);
    let now = START + Duration::from_secs(5);

    first.want(&group, 1, 0);
    exchange(now, &mut first, &mut holder);
    exchange(now, &mut second, &mut holder);

    assert_eq!(before, 0);
    assert_eq!(second.available(now, &group, 1), 1);
}

/// A step of a random schedule; hosts and messages are picked modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Ask(usize),
    Start(usize),
    End(usize),
    Deliver(usize),
    Lose(usize),
    Repeat(usize),
    Report,
    Pause(usize),
    Wake(usize),
    Crash(usize),
    EngineEndsOrphan,
    Lease(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, CreditRequest),
    Grant(usize, CreditGrant),
    /// Holder, measured at (true time), load.
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

/// Entry hosts, an engine and a lossy network that reorders messages.
#[derive(Debug)]
struct World {
    now: Timestamp,
    hosts: Vec<EntryHost>,
    network: Vec<Message>,
    orphans: u32,
    lease: Option<(usize, Timestamp)>,
    outcome: ColdOutcome,
    peak_budget: u32,
    starts: u32,
}

impl World {
    fn new(outcome: ColdOutcome) -> Self {
        let host = |i: usize| EntryHost {
            user: user(i, 1),
            holder: ColdBudgetHolder::new(settings()),
            incarnation: 1,
            paused: false,
            running: 0,
            clock_ahead: Duration::from_secs(1_000 * i as u64),
        };
        let mut world = Self {
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
            world.meet_group(i);
        }
        world
    }

    fn meet_group(&mut self, i: usize) {
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
            Step::Ask(i) => self.if_awake(i, Self::ask),
            Step::Start(i) => self.if_awake(i, Self::start),
            Step::End(i) => self.if_awake(i, |world, i| world.end(i, world.outcome)),
            Step::Deliver(i) if !self.network.is_empty() => {
                let i = i % self.network.len();
                let message = self.network.remove(i);
                self.deliver(message);
            }
            Step::Lose(i) if !self.network.is_empty() => {
                let i = i % self.network.len();
                self.network.swap_remove(i);
            }
            Step::Repeat(i) if !self.network.is_empty() => {
                let message = self.network[i % self.network.len()].clone();
                self.network.push(message);
            }
            Step::Report => {
                let load = self.running();
                let reports = (0..HOSTS).map(|i| Message::Report(i, self.now, load));
                self.network.extend(reports);
            }
            Step::Pause(i) => self.hosts[i % HOSTS].paused = true,
            Step::Wake(i) => self.hosts[i % HOSTS].paused = false,
            Step::Crash(i) => self.crash(i % HOSTS),
            Step::EngineEndsOrphan => self.orphans = self.orphans.saturating_sub(1),
            Step::Lease(i) => self.if_awake(i, Self::lease),
            Step::Deliver(_) | Step::Lose(_) | Step::Repeat(_) => {}
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

    fn if_awake(&mut self, i: usize, f: impl FnOnce(&mut Self, usize)) {
        let i = i % HOSTS;
        if !self.hosts[i].paused {
            f(self, i);
        }
    }

    fn ask(&mut self, i: usize) {
        let now = self.clock(i);
        for _ in self.hosts[i].user.expired(now) {
            while self.hosts[i].running > 0 {
                self.end(i, ColdOutcome::Cancelled);
            }
        }
        let user = &mut self.hosts[i].user;
        user.want(&cold_group().group, 1, 2 + i as u32);
        let requests = user.requests_due(now);
        // The network carries the request to whichever host leads by then.
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
                // Hosts that were holder once may still get requests.
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

    /// Kills a host; its requests run on until the engine notices.
    fn crash(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        host.incarnation += 1;
        host.user = user(i, host.incarnation);
        host.holder = ColdBudgetHolder::new(settings());
        host.paused = false;
        self.orphans += host.running;
        host.running = 0;
        self.meet_group(i);
    }

    /// Acquires or renews the lease, which ends for the holder and all others at
    /// the same true time.
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
        80 => any::<usize>().prop_map(Step::Ask),
        160 => any::<usize>().prop_map(Step::Start),
        60 => any::<usize>().prop_map(Step::End),
        300 => Just(Step::Deliver(0)),
        60 => any::<usize>().prop_map(Step::Deliver),
        10 => any::<usize>().prop_map(Step::Lose),
        10 => any::<usize>().prop_map(Step::Repeat),
        40 => Just(Step::Report),
        5 => any::<usize>().prop_map(Step::Pause),
        60 => any::<usize>().prop_map(Step::Wake),
        2 => any::<usize>().prop_map(Step::Crash),
        40 => Just(Step::EngineEndsOrphan),
        60 => any::<usize>().prop_map(Step::Lease),
    ]
}

/// Runs random schedules and returns the requests started in all of them.
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
        let mut world = World::new(outcome);
        for step in &steps {
            world.apply(step)?;
        }
        starts.set(starts.get() + world.starts);
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
