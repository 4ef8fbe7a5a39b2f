//! Choice of a replica group.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, DrainTarget, ModelSpec};
use geranium_core::route::{
    BlockHash, CacheChange, CacheEvent, ColdCredits, EntryHost, NoColdCredits, RouteChoice,
    RoutePath, RouteQuery, RouteRefusal, Router, RouterSettings,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn group(name: &str, domain: &str) -> ServingGroup {
    ServingGroup {
        group: GroupId::new(name),
        record: RecordName::new("chat"),
        served_model: ModelId::new("m"),
        failure_domain: FailureDomainId::new(domain),
        fabric_domain: FabricDomainId::new(format!("{domain}.f0")),
        head: HostId::new(format!("{name}.h0")),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        fencing: FencingNumber(1),
        generation: 1,
        temperature: Temperature::Warm,
        running: 0,
        waiting: 0,
        kv_free_tokens: 1_000,
        cold_concurrency: 2,
        warm_concurrency: 10,
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
        warm_concurrency: 10,
    }
}

fn router(groups: &[ServingGroup]) -> Router {
    let mut router = Router::new(FailureDomainId::new("d1"), RouterSettings::default());
    router.update_records(&[record()]);
    router.update_groups(START, groups);
    router
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

/// Routes a request of account "a" to model "m" at [`START`].
fn route(
    router: &mut Router,
    prefix: &[BlockHash],
    exclude: &[GroupId],
) -> Result<RouteChoice, RouteRefusal> {
    route_with(router, START, prefix, exclude, &NoColdCredits)
}

fn route_with(
    router: &mut Router,
    now: Timestamp,
    prefix: &[BlockHash],
    exclude: &[GroupId],
    credits: &impl ColdCredits,
) -> Result<RouteChoice, RouteRefusal> {
    let query = RouteQuery {
        model: &ModelId::new("m"),
        account: &AccountId::new("a"),
        prefix,
        exclude,
        forwarded: false,
    };
    router.choose(now, &query, credits, &mut rng())
}

fn blocks(range: std::ops::Range<u64>) -> Vec<BlockHash> {
    range.map(BlockHash).collect()
}

fn stored(group: &str, sequence: u64, blocks: &[BlockHash]) -> CacheEvent {
    CacheEvent {
        group: GroupId::new(group),
        generation: 1,
        sequence,
        change: CacheChange::Stored(blocks.to_vec()),
    }
}

struct Credits(u32);

impl ColdCredits for Credits {
    fn available(&self, _now: Timestamp, _group: &GroupId, _generation: u64) -> u32 {
        self.0
    }

    fn marked_cold(&self, _group: &GroupId, _generation: u64) -> bool {
        false
    }
}

#[test]
fn request_follows_its_cached_prefix() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1"), group("g3", "d1")]);
    router.cache_event(&stored("g2", 1, &blocks(0..40)));

    let choice = route(&mut router, &blocks(0..50), &[]).expect("a group");

    assert_eq!(choice.group, GroupId::new("g2"));
    assert!(choice.cached_blocks >= 38);
}

#[test]
fn gap_in_cache_events_lowers_trust_and_a_clear_restores_it() {
    let mut router = router(&[group("g1", "d1")]);
    router.cache_event(&stored("g1", 1, &blocks(0..10)));
    router.cache_event(&stored("g1", 5, &blocks(10..20)));
    let after_gap = router.trust(&GroupId::new("g1")).expect("a group");

    router.cache_event(&CacheEvent {
        group: GroupId::new("g1"),
        generation: 1,
        sequence: 6,
        change: CacheChange::Cleared,
    });

    assert!(after_gap <= 0.5);
    assert_eq!(router.trust(&GroupId::new("g1")), Some(1.0));
    let choice = route(&mut router, &blocks(0..10), &[]).expect("a group");
    assert_eq!(choice.cached_blocks, 0);
}

#[test]
fn new_generation_has_an_empty_cache() {
    let mut router = router(&[group("g1", "d1")]);
    router.cache_event(&stored("g1", 1, &blocks(0..10)));
    let restarted = ServingGroup {
        generation: 2,
        ..group("g1", "d1")
    };

    router.update_groups(START, &[restarted]);
    router.cache_event(&stored("g1", 2, &blocks(0..10)));

    let choice = route(&mut router, &blocks(0..10), &[]).expect("a group");
    assert_eq!(choice.cached_blocks, 0);
}

#[test]
fn excluded_and_drained_groups_get_nothing() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1"), group("g3", "d1")]);
    router.update_drains([DrainTarget::Host(HostId::new("g2.h0"))]);

    let choice = route(&mut router, &[], &[GroupId::new("g1")]).expect("a group");
    let none = route(&mut router, &[], &[GroupId::new("g1"), GroupId::new("g3")]);

    assert_eq!(choice.group, GroupId::new("g3"));
    assert_eq!(none, Err(RouteRefusal::Unavailable(ModelId::new("m"))));
}

#[test]
fn other_failure_domain_is_reached_only_through_its_entry_hosts() {
    let mut router = router(&[group("g9", "d2")]);

    let unreachable = route(&mut router, &[], &[]);
    router.update_entry_hosts(&[EntryHost {
        host: HostId::new("e2"),
        failure_domain: FailureDomainId::new("d2"),
    }]);
    let choice = route(&mut router, &[], &[]).expect("a group");

    assert_eq!(
        unreachable,
        Err(RouteRefusal::Unavailable(ModelId::new("m")))
    );
    assert_eq!(choice.path, RoutePath::Through(HostId::new("e2")));
}

#[test]
fn forwarded_request_takes_no_second_hop() {
    let mut router = router(&[group("g9", "d2")]);
    router.update_entry_hosts(&[EntryHost {
        host: HostId::new("e2"),
        failure_domain: FailureDomainId::new("d2"),
    }]);
    let query = RouteQuery {
        model: &ModelId::new("m"),
        account: &AccountId::new("a"),
        prefix: &[],
        exclude: &[],
        forwarded: true,
    };

    let refusal = router.choose(START, &query, &NoColdCredits, &mut rng());

    assert_eq!(refusal, Err(RouteRefusal::Unavailable(ModelId::new("m"))));
}

#[test]
fn load_adds_own_requests_since_the_report_and_forgets_older_ones() {
    let mut router = router(&[group("g1", "d1")]);
    let name = GroupId::new("g1");
    router.started(START, &name, &[]);
    router.started(START, &name, &[]);
    let before_report = router.load(&name);
    let later = START + Duration::from_secs(1);
    router.started(later, &name, &[]);
    let reported = ServingGroup {
        running: 5,
        ..group("g1", "d1")
    };

    router.update_groups(later, &[reported]);

    assert_eq!(before_report, Some(2));
    assert_eq!(router.load(&name), Some(6));
}

#[test]
fn full_groups_are_refused_as_saturated() {
    let full = ServingGroup {
        running: 10,
        ..group("g1", "d1")
    };
    let mut router = router(&[full]);

    let refusal = route(&mut router, &[], &[]);

    assert_eq!(refusal, Err(RouteRefusal::Saturated(ModelId::new("m"))));
}

#[test]
fn cold_group_needs_a_credit() {
    let cold = ServingGroup {
        temperature: Temperature::Cold,
        ..group("g1", "d1")
    };
    let mut router = router(&[cold]);

    let without = route(&mut router, &[], &[]);
    let with = route_with(&mut router, START, &[], &[], &Credits(1)).expect("a group");

    assert_eq!(without, Err(RouteRefusal::NoColdCredit(ModelId::new("m"))));
    assert_eq!(with.temperature, Temperature::Cold);
}

#[test]
fn repeated_failures_set_a_group_aside_for_a_while() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1")]);
    let failing = GroupId::new("g1");
    for _ in 0..3 {
        router.started(START, &failing, &[]);
        router.failed(START, &failing);
    }
    router.cache_event(&stored("g1", 1, &blocks(0..30)));

    let during = route(&mut router, &blocks(0..30), &[]).expect("a group");
    let after = START + Duration::from_secs(2);
    let later = route_with(&mut router, after, &blocks(0..30), &[], &NoColdCredits);

    assert_eq!(during.group, GroupId::new("g2"));
    assert_eq!(later.expect("a group").group, failing);
}

#[test]
fn straggler_loses_requests_to_its_peers() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1"), group("g3", "d1")]);
    for (name, millis) in [("g1", 2_000), ("g2", 100), ("g3", 100)] {
        for _ in 0..6 {
            let waited = Duration::from_millis(millis);
            router.first_token(START, &GroupId::new(name), waited, 4);
        }
    }
    router.cache_event(&stored("g1", 1, &blocks(0..10)));

    let choice = route(&mut router, &blocks(0..10), &[]).expect("a group");

    assert_ne!(choice.group, GroupId::new("g1"));
    assert!(router.slowdown(&GroupId::new("g1")).expect("a group") > 10.0);
}

#[test]
fn account_without_a_record_is_not_allowed() {
    let mut router = router(&[group("g1", "d1")]);
    let query = RouteQuery {
        model: &ModelId::new("m"),
        account: &AccountId::new("stranger"),
        prefix: &[],
        exclude: &[],
        forwarded: false,
    };

    let refusal = router.choose(START, &query, &NoColdCredits, &mut rng());

    let expected = RouteRefusal::NotAllowed(ModelId::new("m"), AccountId::new("stranger"));
    assert_eq!(refusal, Err(expected));
}
