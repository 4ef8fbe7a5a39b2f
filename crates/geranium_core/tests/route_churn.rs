//! Checks the invariants of routing while groups, drains and entry hosts change at
//! random.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, DrainTarget, ModelSpec};
use geranium_core::route::{
    BlockHash, CacheChange, CacheEvent, Dispatch, EntryHost, NoColdCredits, RoutePath, RouteQuery,
    Router, RouterSettings,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const START: Timestamp = Timestamp::from_millis(1_000_000);
const GROUPS: usize = 12;
const DOMAINS: usize = 3;
const INDEX_CAPACITY: usize = 200;

fn record(name: &str, accounts: &[&str]) -> ModelSpec {
    let share = |account: &&str| AccountShare {
        account: AccountId::new(account),
        weight: 1,
    };
    ModelSpec {
        name: RecordName::new(name),
        served_model: ModelId::new("m"),
        weights: "w".into(),
        version: "1".into(),
        adapters: Vec::new(),
        hosts_per_replica: 2,
        placements: Vec::new(),
        accounts: accounts.iter().map(share).collect(),
        cold_concurrency: 1,
        warm_concurrency: 8,
    }
}

/// Groups with an even number belong to record "r0", the others to "r1".
fn group(i: usize, rng: &mut SmallRng) -> ServingGroup {
    let cold = rng.random_range(0..5) == 0;
    ServingGroup {
        group: GroupId::new(format!("g{i}")),
        record: RecordName::new(format!("r{}", i % 2)),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new(format!("d{}", i % DOMAINS)),
        fabric_domain: FabricDomainId::new("f0"),
        head: HostId::new(format!("g{i}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: rng.random_range(1..4),
        temperature: if cold {
            Temperature::Cold
        } else {
            Temperature::Warm
        },
        running: rng.random_range(0..10),
        waiting: 0,
        kv_free_tokens: rng.random(),
        cold_concurrency: 1,
        warm_concurrency: 8,
    }
}

struct Churn {
    rng: SmallRng,
    now: Timestamp,
    router: Router,
    groups: Vec<ServingGroup>,
    drains: Vec<DrainTarget>,
    entry_domains: Vec<FailureDomainId>,
    in_flight: Vec<Dispatch>,
    routed: u32,
}

impl Churn {
    fn new(seed: u64) -> Self {
        let settings = RouterSettings {
            index_capacity: INDEX_CAPACITY,
            ..RouterSettings::default()
        };
        let mut router = Router::new(FailureDomainId::new("d0"), settings);
        router.update_records(&[record("r0", &["a", "b"]), record("r1", &["b"])]);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: START,
            router,
            groups: Vec::new(),
            drains: Vec::new(),
            entry_domains: Vec::new(),
            in_flight: Vec::new(),
            routed: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(1..200));
        match self.rng.random_range(0..20) {
            0 => self.change_groups(),
            1 => self.change_drains(),
            2 => self.change_entry_hosts(),
            3..6 => self.publish(),
            6..12 => self.end(),
            _ => self.route(),
        }
        assert!(self.router.indexed_blocks() <= INDEX_CAPACITY);
    }

    fn change_groups(&mut self) {
        let rng = &mut self.rng;
        let mut groups: Vec<_> = (0..GROUPS).map(|i| group(i, rng)).collect();
        groups.retain(|_| rng.random_range(0..3) > 0);
        self.router.update_groups(self.now, &groups);
        self.groups = groups;
    }

    fn change_drains(&mut self) {
        let domain = self.rng.random_range(0..DOMAINS);
        let host = self.rng.random_range(0..GROUPS);
        self.drains = vec![
            DrainTarget::FailureDomain(FailureDomainId::new(format!("d{domain}"))),
            DrainTarget::Host(HostId::new(format!("g{host}.h0"))),
        ];
        let kept = self.rng.random_range(0..3);
        self.drains.truncate(kept);
        self.router.update_drains(self.drains.clone());
    }

    fn change_entry_hosts(&mut self) {
        let domain = FailureDomainId::new(format!("d{}", self.rng.random_range(1..DOMAINS)));
        self.entry_domains = vec![domain];
        let hosts = self.entry_domains.iter().map(|domain| EntryHost {
            host: HostId::new(format!("{domain}.e0")),
            failure_domain: domain.clone(),
        });
        let hosts: Vec<_> = hosts.collect();
        self.router.update_entry_hosts(&hosts);
    }

    fn publish(&mut self) {
        let rng = &mut self.rng;
        let blocks: Vec<_> = (0..20)
            .map(|_| BlockHash(rng.random_range(0..500)))
            .collect();
        let change = match rng.random_range(0..10) {
            0 => CacheChange::Cleared,
            1..4 => CacheChange::Evicted(blocks),
            _ => CacheChange::Stored(blocks),
        };
        let event = CacheEvent {
            group: GroupId::new(format!("g{}", rng.random_range(0..GROUPS))),
            generation: rng.random_range(1..4),
            sequence: rng.random_range(0..1_000),
            change,
        };
        self.router.cache_event(&event);
    }

    fn end(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.in_flight.len());
        let mut dispatch = self.in_flight.swap_remove(i);
        let waited = Duration::from_millis(self.rng.random_range(1..5_000));
        match self.rng.random_range(0..4) {
            0 => self.router.failed(self.now, dispatch),
            1 => self.router.finished(self.now, dispatch),
            _ => {
                let _ = self.router.first_token(self.now, &mut dispatch, waited);
                self.in_flight.push(dispatch);
            }
        }
    }

    fn route(&mut self) {
        let account = AccountId::new(if self.rng.random() { "a" } else { "b" });
        let exclude = [GroupId::new(format!(
            "g{}",
            self.rng.random_range(0..GROUPS)
        ))];
        let prefix: Vec<_> = (0..self.rng.random_range(0..60)).map(BlockHash).collect();
        let forwarded = self.rng.random_range(0..4) == 0;
        let query = RouteQuery {
            model: &ModelId::new("m"),
            account: &account,
            prefix: &prefix,
            exclude: &exclude,
            forwarded,
        };
        let choice = self
            .router
            .choose(self.now, &query, &NoColdCredits, &mut self.rng);
        let Ok(choice) = choice else {
            return;
        };
        let group = self.groups.iter().find(|g| g.group == choice.group);
        let group = group.expect("only groups of the last update are chosen");
        assert_ne!(choice.group, exclude[0]);
        assert!(account.as_str() == "b" || group.record.as_str() == "r0");
        assert_eq!(choice.generation, group.generation);
        assert!(!self.is_drained(group), "{group:?} is drained");
        let local = group.failure_domain.as_str() == "d0";
        if local {
            assert_eq!(choice.path, RoutePath::Direct);
            assert_eq!(choice.temperature, Temperature::Warm);
        } else {
            assert!(!forwarded, "a forwarded request takes a second hop");
            assert!(self.entry_domains.contains(&group.failure_domain));
            assert!(matches!(choice.path, RoutePath::Through(_)));
        }
        let dispatch = self.router.started(self.now, &choice, &prefix);
        self.in_flight.push(dispatch);
        self.routed += 1;
    }

    fn is_drained(&self, group: &ServingGroup) -> bool {
        self.drains.iter().any(|drain| match drain {
            DrainTarget::FailureDomain(domain) => *domain == group.failure_domain,
            DrainTarget::Host(host) => *host == group.head,
        })
    }
}

#[test]
fn routing_invariants_hold_under_random_changes() {
    for seed in 0..40 {
        let mut churn = Churn::new(seed);
        for _ in 0..2_000 {
            churn.step();
        }
        assert!(churn.routed > 100, "seed {seed}: {} routed", churn.routed);

        for dispatch in std::mem::take(&mut churn.in_flight) {
            churn.router.finished(churn.now, dispatch);
        }
        for i in 0..GROUPS {
            let group = GroupId::new(format!("g{i}"));
            assert_eq!(churn.router.own_in_flight(&group), 0, "seed {seed}");
        }
    }
}
