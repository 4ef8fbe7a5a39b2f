//! Simulation of request bursts on cold groups through several entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::limit::{ColdBudgetHolder, ColdCreditUser, ColdOutcome, ColdSettings};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, ModelSpec};
use geranium_core::route::{Dispatch, RouteQuery, Router, RouterSettings};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(50);
const SERVICE: Duration = Duration::from_secs(1);
const HOSTS: usize = 4;
const COLD: u32 = 2;
const WARM: u32 = 32;

fn group(name: &str, temperature: Temperature) -> ServingGroup {
    ServingGroup {
        group: GroupId::new(name),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new("d1"),
        fabric_domain: FabricDomainId::new("d1.f0"),
        head: HostId::new(format!("{name}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature,
        running: 0,
        waiting: 0,
        kv_free_tokens: 1_000,
        cold_concurrency: COLD,
        warm_concurrency: WARM,
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
        cold_concurrency: COLD,
        warm_concurrency: WARM,
    }
}

struct Host {
    router: Router,
    user: ColdCreditUser,
    waiting: u32,
    running: Vec<(Timestamp, GroupId, Dispatch)>,
}

/// Simulation of entry hosts that share a budget holder and serve a burst of
/// requests on some groups.
struct Burst {
    now: Timestamp,
    hosts: Vec<Host>,
    holder: ColdBudgetHolder,
    groups: Vec<ServingGroup>,
    rng: SmallRng,
    answered: u32,
    peak_over_budget: i64,
}

impl Burst {
    fn new(groups: Vec<ServingGroup>, waiting_per_host: u32) -> Self {
        let settings = ColdSettings::default();
        let host = |i: usize| {
            let domain = FailureDomainId::new("d1");
            let mut router = Router::new(domain, RouterSettings::default());
            router.update_records(&[record()]);
            router.update_groups(START, &groups);
            Host {
                router,
                user: ColdCreditUser::new(HostId::new(format!("e{i}")), Incarnation(1), settings),
                waiting: waiting_per_host,
                running: Vec::new(),
            }
        };
        let hosts = (0..HOSTS).map(host).collect();
        let mut holder = ColdBudgetHolder::new(settings);
        holder.extend_authority(START, START + Duration::from_hours(1));
        holder.update_groups(START, &groups);
        Self {
            now: START,
            hosts,
            holder,
            groups,
            rng: SmallRng::seed_from_u64(5),
            answered: 0,
            peak_over_budget: i64::MIN,
        }
    }

    fn running(&self, group: &GroupId) -> u32 {
        let running = self.hosts.iter().flat_map(|host| &host.running);
        running.filter(|(_, at, _)| at == group).count() as u32
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for i in 0..self.groups.len() {
            let id = self.groups[i].group.clone();
            let running = self.running(&id);
            self.groups[i].running = running;
            self.holder.observe_load(&id, self.now, running);
        }
        for i in 0..self.hosts.len() {
            self.hosts[i].router.update_groups(self.now, &self.groups);
            self.finish(i);
            self.request_credits(i);
            self.start(i);
        }
        for group in &self.groups {
            if group.temperature == Temperature::Cold {
                let budget = self.holder.budget(&group.group).expect("group is known");
                let over = i64::from(self.running(&group.group)) - i64::from(budget);
                self.peak_over_budget = self.peak_over_budget.max(over);
            }
        }
    }

    fn finish(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        let (done, running) = std::mem::take(&mut host.running)
            .into_iter()
            .partition(|(started, _, _)| now.since(*started) >= SERVICE);
        host.running = running;
        let done: Vec<(Timestamp, GroupId, Dispatch)> = done;
        for (_, group, mut dispatch) in done {
            let _ = host.router.first_token(now, &mut dispatch, SERVICE);
            host.router.finished(now, dispatch);
            host.user.ended(&group, 1, ColdOutcome::Succeeded);
            self.answered += 1;
        }
    }

    fn request_credits(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        for group in &self.groups {
            if group.temperature == Temperature::Cold {
                let wanted = host.user.in_use(&group.group) + host.waiting;
                host.user.set_wanted(&group.group, 1, wanted.min(WARM));
            }
        }
        for req in host.user.requests_due(self.now) {
            if let Ok(grant) = self.holder.request(self.now, &req) {
                host.user.granted(self.now, &grant);
            }
        }
    }

    fn start(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        let query = RouteQuery {
            model: &ModelId::new("m"),
            account: &AccountId::new("a"),
            prefix: &[],
            exclude: &[],
            forwarded: false,
        };
        while host.waiting > 0 {
            let chosen = host
                .router
                .choose(self.now, &query, &host.user, &mut self.rng);
            let Ok(choice) = chosen else {
                return;
            };
            if choice.temperature == Temperature::Cold {
                assert!(host.user.try_start(self.now, &choice.group, 1));
            }
            let dispatch = host.router.started(self.now, &choice, &[]);
            host.running.push((self.now, choice.group, dispatch));
            host.waiting -= 1;
        }
    }
}

#[test]
fn burst_on_a_single_cold_group_stays_within_its_budget_and_completes() {
    let mut burst = Burst::new(vec![group("g1", Temperature::Cold)], 50);

    for _ in 0..1_200 {
        burst.step();
    }

    assert_eq!(burst.answered, 200);
    assert!(burst.peak_over_budget <= 0, "{}", burst.peak_over_budget);
    assert_eq!(burst.holder.budget(&GroupId::new("g1")), Some(WARM));
}

#[test]
fn cold_group_that_joins_overloaded_groups_gets_no_more_than_its_budget() {
    let groups = vec![
        group("g1", Temperature::Warm),
        group("g2", Temperature::Warm),
        group("g3", Temperature::Cold),
    ];
    let mut burst = Burst::new(groups, 1_000);

    for _ in 0..1_200 {
        burst.step();
    }

    assert!(burst.answered > 1_000, "{} answered", burst.answered);
    assert!(burst.peak_over_budget <= 0, "{}", burst.peak_over_budget);
    assert_eq!(burst.holder.budget(&GroupId::new("g3")), Some(WARM));
}
