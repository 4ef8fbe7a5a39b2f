//! Tests of the choice of a replica group.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::prelude::*;
use geranium_core::record::{AccountShare, DrainTarget, ModelSpec};
use geranium_core::route::{
    BlockHash, CacheChange, CacheEvent, ColdCredits, Dispatch, EntryHost, LatencyVerdict,
    NoColdCredits, RouteChoice, RoutePath, RouteQuery, RouteRefusal, Router, RouterSettings,
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

/// Starts a request at a group without a routing decision.
fn start(router: &mut Router, now: Timestamp, group: &ServingGroup) -> Dispatch {
    let choice = RouteChoice {
        group: group.group.clone(),
        generation: group.generation,
        fencing: group.fencing,
        address: group.address,
        failure_domain: group.failure_domain.clone(),
        temperature: group.temperature,
        path: RoutePath::Direct,
        cached_blocks: 0,
        blocks: 4,
    };
    router.started(now, &choice, &[])
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

    fn has_cold_marks(&self) -> bool {
        false
    }

    fn marked_cold(&self, _group: &GroupId, _generation: u64) -> bool {
        false
    }
}

#[test]
fn request_goes_to_the_group_with_its_cached_prefix() {
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
fn excluded_and_drained_groups_get_no_requests() {
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
    let group_1 = group("g1", "d1");
    let _first = start(&mut router, START, &group_1);
    let _second = start(&mut router, START, &group_1);
    let before_report = router.load(&name);
    let later = START + Duration::from_secs(1);
    let _third = start(&mut router, later, &group_1);
    let reported = ServingGroup {
        running: 5,
        ..group("g1", "d1")
    };

    router.update_groups(later, &[reported]);

    assert_eq!(before_report, Some(2));
    assert_eq!(router.load(&name), Some(6));
}

#[test]
fn first_token_releases_the_pending_blocks_of_a_request() {
    let groups = [group("g1", "d1"), group("g2", "d1")];
    let mut router = router(&groups);
    router.cache_event(&stored("g1", 1, &blocks(0..4)));
    let mut dispatches: Vec<_> = (0..8)
        .map(|_| start(&mut router, START, &groups[0]))
        .collect();
    let while_pending = route(&mut router, &blocks(0..4), &[]).expect("a group");

    for dispatch in &mut dispatches {
        let _ = router.first_token(START, dispatch, Duration::from_millis(50));
    }
    let after = route(&mut router, &blocks(0..4), &[]).expect("a group");

    assert_eq!(while_pending.group, groups[1].group);
    assert_eq!(after.group, groups[0].group);
}

#[test]
fn request_is_refused_as_saturated_if_every_group_is_full() {
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
fn consecutive_failures_eject_a_group_temporarily() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1")]);
    let failing = GroupId::new("g1");
    for _ in 0..3 {
        let dispatch = start(&mut router, START, &group("g1", "d1"));
        router.failed(START, dispatch);
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
            let mut dispatch = start(&mut router, START, &group(name, "d1"));
            let waited = Duration::from_millis(millis);
            router.first_token(START, &mut dispatch, waited);
            router.finished(START, dispatch);
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

/// Answers `count` requests at a group, each with a first token after `millis`, and
/// returns the last verdict.
fn answer(
    router: &mut Router,
    now: Timestamp,
    group: &ServingGroup,
    millis: u64,
    count: usize,
) -> LatencyVerdict {
    let mut verdict = LatencyVerdict::Normal;
    for _ in 0..count {
        let mut dispatch = start(router, now, group);
        verdict = router.first_token(now, &mut dispatch, Duration::from_millis(millis));
        router.finished(now, dispatch);
    }
    verdict
}

#[test]
fn only_group_that_becomes_slow_under_its_usual_load_counts_as_cold() {
    let only = group("g1", "d1");
    let mut router = router(std::slice::from_ref(&only));

    let before = answer(&mut router, START, &only, 50, 100);
    let first_slow = answer(&mut router, START, &only, 5_000, 1);
    let after = answer(&mut router, START, &only, 5_000, 5);

    assert_eq!(before, LatencyVerdict::Normal);
    assert!(first_slow < LatencyVerdict::Cold);
    assert_eq!(after, LatencyVerdict::Cold);
}

#[test]
fn only_group_that_is_slow_because_of_more_load_does_not_count_as_cold() {
    let only = group("g1", "d1");
    let mut router = router(std::slice::from_ref(&only));
    answer(&mut router, START, &only, 50, 100);
    let crowd: Vec<Dispatch> = (0..8).map(|_| start(&mut router, START, &only)).collect();

    let verdict = answer(&mut router, START, &only, 5_000, 5);

    assert_eq!(crowd.len(), 8);
    assert_eq!(verdict, LatencyVerdict::Normal);
}

#[test]
fn group_that_fails_after_the_first_token_is_ejected() {
    let mut router = router(&[group("g1", "d1"), group("g2", "d1")]);
    for _ in 0..3 {
        let mut dispatch = start(&mut router, START, &group("g1", "d1"));
        let _ = router.first_token(START, &mut dispatch, Duration::from_millis(50));
        router.failed(START, dispatch);
    }
    router.cache_event(&stored("g1", 1, &blocks(0..30)));

    let choice = route(&mut router, &blocks(0..30), &[]).expect("a group");

    assert_eq!(choice.group, GroupId::new("g2"));
}

#[test]
fn ejected_group_takes_no_overflow_but_is_used_when_it_is_the_only_one() {
    let failing = group("g1", "d1");
    let full = ServingGroup {
        running: 10,
        ..group("g2", "d1")
    };
    let mut with_full = router(&[failing.clone(), full]);
    let mut alone = router(std::slice::from_ref(&failing));
    for router in [&mut with_full, &mut alone] {
        for _ in 0..3 {
            let dispatch = start(router, START, &failing);
            router.failed(START, dispatch);
        }
    }

    let events = alone.take_events();
    let overflow = route(&mut with_full, &[], &[]);
    let only = route(&mut alone, &[], &[]).expect("a group");

    assert_eq!(overflow, Err(RouteRefusal::Saturated(ModelId::new("m"))));
    assert_eq!(only.group, failing.group);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].kind, EventKind::GroupSetAside);
    assert_eq!(events[0].subject.group, Some(failing.group));
}

#[test]
fn capacity_is_requests_in_progress_plus_a_share_of_free_slots() {
    let half_full = ServingGroup {
        running: 6,
        ..group("g1", "d1")
    };
    let cold = ServingGroup {
        temperature: Temperature::Cold,
        ..group("g2", "d1")
    };
    let model = ModelId::new("m");
    let mut router = router(&[half_full, cold, group("g9", "d2")]);
    let _running = start(&mut router, START, &group("g1", "d1"));

    let local = router.capacity(START, &model, 2, &Credits(1));
    router.update_drains([DrainTarget::FailureDomain(FailureDomainId::new("d1"))]);
    let unreachable = router.capacity(START, &model, 2, &Credits(1));
    router.update_entry_hosts(&[EntryHost {
        host: HostId::new("e2"),
        failure_domain: FailureDomainId::new("d2"),
    }]);
    let remote = router.capacity(START, &model, 2, &Credits(1));

    // One request in progress, half of the three free slots rounded up, one credit.
    assert_eq!(local, 4);
    assert_eq!(unreachable, 0);
    assert_eq!(remote, 5);
}

#[test]
fn group_that_left_and_came_back_is_used_again() {
    let mut router = router(&[group("g1", "d1")]);
    let dispatch = start(&mut router, START, &group("g1", "d1"));
    router.update_groups(START, &[group("g2", "d1")]);
    let without = route(&mut router, &[], &[]).expect("a group");

    router.update_groups(START, &[group("g1", "d1")]);
    let with = route(&mut router, &[], &[]).expect("a group");

    assert_eq!(without.group, GroupId::new("g2"));
    assert_eq!(with.group, GroupId::new("g1"));
    assert_eq!(router.own_in_flight(&GroupId::new("g1")), 1);
    router.finished(START, dispatch);
    assert_eq!(router.own_in_flight(&GroupId::new("g1")), 0);
}

#[test]
fn other_failure_domain_is_considered_above_the_spill_utilization() {
    let crowded = ServingGroup {
        running: 9,
        ..group("g1", "d1")
    };
    let mut router = router(&[crowded, group("g9", "d2")]);
    router.update_entry_hosts(&[EntryHost {
        host: HostId::new("e2"),
        failure_domain: FailureDomainId::new("d2"),
    }]);

    let choice = route(&mut router, &[], &[]).expect("a group");

    assert_eq!(choice.group, GroupId::new("g9"));
}

#[test]
fn prefix_index_stays_within_its_capacity() {
    let settings = RouterSettings {
        index_capacity: 1_000,
        ..RouterSettings::default()
    };
    let mut router = Router::new(FailureDomainId::new("d1"), settings);
    router.update_records(&[record()]);
    router.update_groups(START, &[group("g1", "d1")]);

    for i in 0..100 {
        router.cache_event(&stored("g1", i, &blocks(i * 100..(i + 1) * 100)));
    }

    assert!(router.indexed_blocks() <= 1_000);
    let recent = route(&mut router, &blocks(9_900..10_000), &[]).expect("a group");
    assert!(recent.cached_blocks > 90);
}
