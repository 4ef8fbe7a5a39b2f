//! Tests of the order among requests when a model has less capacity than demand.

mod engine;
mod fixture;

use std::time::Duration;

use engine::{model, profile};
use fixture::server;
use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use geranium_fleet::admission::PlaceWait;
use geranium_fleet::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
/// Objective that a group of the test engine meets at part of its slots.
const OBJECTIVE: Duration = Duration::from_millis(205);
/// Number of requests at which a group is full.
const MAX_RUNNING: u32 = 20;

fn query<'a>(profile: &'a EngineProfile, account: &'a str, priority: u8) -> AdmissionQuery<'a> {
    AdmissionQuery {
        estimate: FirstTokenEstimate::new(profile, &profile.models[0]),
        account,
        priority,
        peer_priorities: PrioritySet::default(),
        objective: OBJECTIVE,
        prompt_tokens: 1_000.0,
    }
}

fn engine_profile() -> EngineProfile {
    profile(vec![model("m", 4, 1.0)])
}

/// Groups behind an entry host, with the number of requests that each runs.
struct Groups {
    directory: Directory,
    dispatcher: Dispatcher,
    rng: SmallRng,
    running: Vec<u32>,
}

impl Groups {
    fn new(running: &[u32]) -> Self {
        let mut groups = Self {
            directory: Directory::default(),
            dispatcher: Dispatcher::new("e0".into(), "a".into()),
            rng: SmallRng::seed_from_u64(5),
            running: running.to_vec(),
        };
        let mut loads = HashMap::default();
        for (i, n) in running.iter().enumerate() {
            groups.directory.put(server(&id(i), "engines", "a"));
            loads.insert(id(i).as_str().into(), f64::from(*n));
        }
        groups.dispatcher.set_peer_requests(&loads, NOW);
        groups
    }

    fn choose(&mut self, max_running: f64) -> Result<(), NoHost> {
        let criteria = DispatchCriteria {
            service: "engines",
            model: None,
            tried: &[],
            cold_limit: None,
            entry_hosts: 20,
            max_running,
            request_time: Some(Duration::from_secs(1)),
        };
        let choice = (self.dispatcher).choose(&self.directory, &criteria, NOW, &mut self.rng)?;
        let chosen = (0..self.running.len()).find(|i| *id(*i) == *choice.host.id);
        self.running[chosen.expect("the group is known")] += 1;
        Ok(())
    }
}

fn id(i: usize) -> String {
    format!("g{i:02}")
}

/// Guards against a burst of less urgent requests that takes every place: once it is refused,
/// each group still has places for more urgent requests.
#[test]
fn a_burst_leaves_places_for_more_urgent_requests() {
    let profile = engine_profile();
    let mut admission = ModelAdmission::default();
    for priority in [0, 2] {
        admission.record_request(&query(&profile, "a", priority), NOW);
    }
    let places = |priority| {
        let query = query(&profile, "a", priority);
        let limits = admission.limits(&query, f64::from(MAX_RUNNING), NOW);
        limits.max_running
    };
    let mut groups = Groups::new(&[3, 0, 12]);

    while groups.choose(places(2)).is_ok() {}
    let left: Vec<u32> = groups.running.iter().map(|n| MAX_RUNNING - n).collect();
    let urgent = std::iter::repeat_with(|| groups.choose(places(0)));
    let urgent = urgent.take_while(Result::is_ok).count();

    assert_eq!(left, [3, 3, 3]);
    assert_eq!(urgent, 9);
    assert_eq!(groups.running, [MAX_RUNNING; 3]);
}

/// Guards against an impossible reported load that would make a group full or attractive.
#[test]
fn impossible_loads_count_as_zero() {
    for load in [f64::NAN, f64::INFINITY, -5.0] {
        let mut groups = Groups::new(&[0]);
        let loads = std::iter::once((id(0).as_str().into(), load)).collect();
        groups.dispatcher.set_peer_requests(&loads, NOW);

        assert_eq!(groups.choose(1.0), Ok(()));
        assert_eq!(groups.choose(1.0), Err(NoHost::Full));
    }
}

/// Guards against a burst of one account that displaces the others, and against capacity held
/// back from it while there is enough.
#[test]
fn an_account_above_its_share_leaves_capacity_free_only_under_contention() {
    let profile = engine_profile();
    let mut admission = ModelAdmission::default();
    for (account, requests) in [("burst", 200), ("b", 20), ("c", 20), ("rare", 1)] {
        for _ in 0..requests {
            admission.record_request(&query(&profile, account, 1), NOW);
        }
    }
    admission.record_request(&query(&profile, "b", 0), NOW);
    let places = |a: &ModelAdmission, account, now| {
        let limits = a.limits(&query(&profile, account, 1), 100.0, now);
        limits.max_running
    };
    let usual = places(&admission, "burst", NOW);

    admission.record_contention(NOW);

    assert_eq!(usual, 85.0, "a lower priority leaves places free");
    assert_eq!(places(&admission, "burst", NOW), 71.0);
    assert_eq!(places(&admission, "b", NOW), usual);
    assert_eq!(places(&admission, "rare", NOW), usual);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(places(&admission, "burst", later), usual);
}

/// Guards against a size for which no group ever counts as in time, and against sizes that
/// callers state wrongly.
#[test]
fn a_long_prompt_lowers_the_load_in_time_and_impossible_sizes_count_as_usual() {
    let profile = engine_profile();
    let in_time = |prompt_tokens| {
        let query = AdmissionQuery {
            prompt_tokens,
            ..query(&profile, "", 1)
        };
        let limits = ModelAdmission::default().limits(&query, 20.0, NOW);
        limits.in_time
    };
    let usual = in_time(1_000.0);

    assert!(in_time(1_500.0) < usual);
    assert_eq!(in_time(1e300), 1.0);
    for impossible in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(in_time(impossible), usual);
    }
}

/// Guards against seconds of overload that pass for a delay that no load changes: the bound of the
/// model would fall and its need of hosts grow several times over.
#[test]
fn an_overload_does_not_raise_the_fixed_delay() {
    let profile = engine_profile();
    let query = query(&profile, "", 1);
    let wait = query.estimate.wait(4.0, query.prompt_tokens);
    let mut admission = ModelAdmission::default();
    let mut record = |requests, running, delay_ms| {
        for _ in 0..requests {
            admission.record_first_token(&query, running, wait + Duration::from_millis(delay_ms));
        }
        admission.first_token_delay().get()
    };
    let usual = record(30, 4.0, 40);

    let at_busy_groups = record(100, 15.0, 240);
    let at_groups_thought_idle = record(20, 4.0, 240);
    let lasting = record(300, 4.0, 140);

    assert!(
        usual.abs_diff(Duration::from_millis(40)) < Duration::from_millis(2),
        "{usual:?}"
    );
    assert_eq!(at_busy_groups, usual);
    assert!(
        at_groups_thought_idle < usual * 2,
        "{at_groups_thought_idle:?}"
    );
    assert!(lasting > Duration::from_millis(120), "{lasting:?}");
}

/// Guards against one late answer that lowers the bound of all later requests to 1.
#[test]
fn the_fixed_delay_is_never_negative_and_ignores_the_extent_of_outliers() {
    let mut delay = FirstTokenDelay::default();
    delay.record(Duration::from_millis(80), Duration::from_millis(110));
    let negative = delay.get();
    for _ in 0..20 {
        delay.record(Duration::from_millis(140), Duration::from_millis(110));
    }
    let usual = delay.get();

    delay.record(Duration::from_secs(30), Duration::from_millis(110));

    assert_eq!(negative, Duration::ZERO);
    assert!(delay.get() < usual + Duration::from_millis(21));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Guards against starvation, and against an order that an objective, a size or an account
    /// turns round.
    #[test]
    fn every_request_has_a_place_and_a_more_urgent_one_no_fewer(
        seen in prop::collection::vec((any::<u8>(), "[a-c]"), 0..40),
        requests in prop::array::uniform2((any::<u8>(), "[a-c]")),
        prompt_tokens in prop::num::f64::ANY,
        max_running in 1.0..200.0,
        contended in any::<bool>(),
    ) {
        let profile = engine_profile();
        let mut admission = ModelAdmission::default();
        for (priority, account) in &seen {
            admission.record_request(&query(&profile, account, *priority), NOW);
        }
        if contended {
            admission.record_contention(NOW);
        }

        let [a, b] = requests.map(|(priority, account)| {
            let query = AdmissionQuery { prompt_tokens, ..query(&profile, &account, priority) };
            (priority.min(9), admission.limits(&query, max_running, NOW))
        });

        for (_, limits) in [a, b] {
            prop_assert!(limits.in_time >= 1.0);
            let half = (max_running / 2.0).floor().max(1.0);
            prop_assert!((half..=max_running).contains(&limits.max_running));
        }
        prop_assert!(a.0 >= b.0 || a.1.max_running >= b.1.max_running);
        prop_assert!(b.0 >= a.0 || b.1.max_running >= a.1.max_running);
    }

    /// Guards against a request that is refused although a group has a place for it, and
    /// against one at a group that is full.
    #[test]
    fn a_request_is_refused_only_if_every_group_is_full(
        running in prop::collection::vec(0..=MAX_RUNNING + 2, 1..12),
    ) {
        let mut groups = Groups::new(&running);
        let is_free = running.iter().any(|n| *n < MAX_RUNNING);

        let placed = groups.choose(f64::from(MAX_RUNNING));

        prop_assert_eq!(placed.is_ok(), is_free);
        let chosen = groups.running.iter().zip(&running).find(|(after, before)| after != before);
        prop_assert!(chosen.is_none_or(|(_, before)| *before < MAX_RUNNING));
    }

    /// Guards against callers that come back all at once, too late or without a pause.
    #[test]
    fn retry_after_stays_within_what_a_caller_honours(
        groups in 0..200_usize,
        refusals in 0..100_000_usize,
        left_ms in 0..10_000_u64,
        seed in any::<u64>(),
    ) {
        let profile = engine_profile();
        let wait = PlaceWait { groups, entry_hosts: 134, refusals };
        let left = Duration::from_millis(left_ms);
        let mut rng = SmallRng::seed_from_u64(seed);

        let after = wait.retry_after(&profile, &profile.models[0], left, &mut rng);

        prop_assert!(after <= left / 3);
        prop_assert!(after >= Duration::from_millis(100).min(left / 3));
    }
}
