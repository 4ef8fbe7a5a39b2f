//! Tests of the demand that entry hosts report, and of what the manager makes of it.

mod engine;

use std::time::Duration;

use engine::{model, profile};
use geranium_core::time::Timestamp;
use geranium_fleet::exchange::{ExchangeTopology, Peer};
use geranium_fleet::peer_load::{LoadSum, PeerLoads};
use geranium_fleet::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Requests per second that callers of all entry hosts send for the large model.
const ASKED_PER_S: u64 = 100;
/// Those of them that do not repeat a refused one.
const CALLERS_PER_S: f64 = ASKED_PER_S as f64 * 0.75;
const ENTRY_HOSTS: u64 = 20;
/// Time for which they do.
const SECONDS: u64 = 30;

fn two_models() -> Vec<ModelProfile> {
    vec![model("large", 4, 0.5), model("small", 2, 0.5)]
}

/// Returns what an entry host reports that gets every twentieth request for the large model, of
/// which it refuses every other one. Half of these are of callers that come back.
fn demand_of(entry_host: u64) -> DemandSum {
    let profile = profile(two_models());
    let mut meter = DemandMeter::default();
    for i in (entry_host..ASKED_PER_S * SECONDS).step_by(ENTRY_HOSTS as usize) {
        let now = NOW + Duration::from_millis(i * 1_000 / ASKED_PER_S);
        meter.record(&profile, "large", 1_000.0, 150.0, OBJECTIVE, now);
        if (i / ENTRY_HOSTS).is_multiple_of(2) {
            meter.record_refusal("large", now);
        }
    }
    let end = NOW + Duration::from_secs(SECONDS);
    DemandSum {
        entry_hosts: 1,
        models: meter.report(&"engines".into(), end),
    }
}

fn total_demand() -> DemandSum {
    let demands: Vec<DemandSum> = (0..ENTRY_HOSTS).map(demand_of).collect();
    DemandSum::of(&demands)
}

/// Guards against a model that seems to ask for less the more of its groups are lost or full:
/// what is refused counts, and so does a model without any group.
#[test]
fn a_model_that_refuses_most_requests_shows_what_is_asked_for() {
    let profile = profile(two_models());
    let total = total_demand();
    let requests = total.model("engines", "large").expect("it was asked for");
    let full = ModelLoad {
        running: 16.0,
        groups: 1,
        discarded: 0,
    };

    let estimates = [full, ModelLoad::default()].map(|load| {
        ModelDemand::estimate(
            &profile,
            &profile.models[0],
            &load,
            requests,
            PrioritySet::default(),
            true,
        )
    });

    for demand in estimates {
        let arrivals = demand.expect("entry hosts report it").arrivals_per_s;
        assert!((arrivals / CALLERS_PER_S - 1.0).abs() < 0.1, "{arrivals}");
    }
    let refused = requests.refused_per_s / requests.asked_per_s;
    assert!((refused - 0.5).abs() < 0.1, "{requests:?}");
    let by_load = ModelDemand::estimate(
        &profile,
        &profile.models[0],
        &full,
        requests,
        PrioritySet::default(),
        false,
    );
    assert!(by_load.expect("a group is open").arrivals_per_s < CALLERS_PER_S / 2.0);
}

/// Guards against a manager that plans by the callers of its own entry host: one that has seen no
/// request for a model took all slots of a group as in time.
#[test]
fn the_manager_plans_by_the_callers_of_all_entry_hosts() {
    let profile = profile(two_models());
    let quiet = DemandSum {
        entry_hosts: 1,
        models: Vec::new(),
    };
    let query = query(&profile, 0, PrioritySet::default());
    let wait = query.estimate.wait(1.0, query.prompt_tokens);
    let mut admission = ModelAdmission::default();
    admission.record_first_token(&query, 1.0, wait + Duration::from_millis(40));
    let mut learned = demand_of(3);
    learned.models[0].add_learned(&admission, NOW);
    let estimate = |requests: &ModelRequests| {
        let load = ModelLoad::default();
        ModelDemand::estimate(
            &profile,
            &profile.models[0],
            &load,
            requests,
            PrioritySet::default(),
            true,
        )
    };

    let total = DemandSum::of([&quiet, &learned, &demand_of(4)]);

    let requests = total.model("engines", "large").expect("it was asked for");
    assert_eq!(requests.objective(), Some(OBJECTIVE));
    let delay = requests.first_token_delay();
    assert!(
        delay.abs_diff(Duration::from_millis(40)) < Duration::from_millis(1),
        "{delay:?}"
    );
    let own = estimate(&ModelRequests::default()).expect("reported");
    let all = estimate(requests).expect("reported");
    assert_eq!(own.max_running, f64::from(profile.slots));
    assert!(all.max_running < own.max_running, "{all:?}");
}

/// Guards against an entry host that has seen no urgent request for a model yet and fills its groups
/// with others.
#[test]
fn priorities_that_others_see_keep_places_free() {
    let profile = profile(two_models());
    let mut admission = ModelAdmission::default();
    admission.record_request(&query(&profile, 0, PrioritySet::default()), NOW);
    let mut elsewhere = demand_of(3);
    elsewhere.models[0].add_learned(&admission, NOW);
    let total = DemandSum::of([&demand_of(4), &elsewhere]);
    let requests = total.model("engines", "large").expect("it was asked for");

    let places = [PrioritySet::default(), requests.priorities].map(|seen| {
        let limits = ModelAdmission::default().limits(&query(&profile, 2, seen), 20.0, NOW);
        limits.max_running
    });

    assert_eq!(places, [20.0, 17.0]);
}

/// Creates a request for the large model with a priority.
fn query(
    profile: &EngineProfile,
    priority: u8,
    peer_priorities: PrioritySet,
) -> AdmissionQuery<'_> {
    AdmissionQuery {
        estimate: FirstTokenEstimate::new(profile, &profile.models[0]),
        account: "",
        priority,
        peer_priorities,
        objective: OBJECTIVE,
        prompt_tokens: 1_000.0,
    }
}

/// Guards against demand that is counted twice or lost on the way over the leaders, and against
/// one that stays after its entry host is gone.
#[test]
fn leaders_add_up_the_demand_of_all_entry_hosts_but_the_receiver() {
    let demand = demand_of(0);
    let own = LoadSum::single(Vec::new(), demand.clone());
    let elsewhere = LoadSum {
        entry_hosts: 3,
        demand: DemandSum::of([&demand, &demand, &demand]),
        ..LoadSum::default()
    };
    let mut leader = PeerLoads::default();
    for follower in ["first", "second"] {
        leader.record_report(follower, Vec::new(), NOW);
        leader.record_demand(follower, demand.clone(), NOW);
    }
    leader.record_domain_sum("elsewhere".into(), elsewhere, NOW);

    let sum = leader.sum_excluding(&"second", &own, NOW);
    let mut follower = PeerLoads::<&str>::default();
    follower.record_overall_sum(sum, NOW);

    assert_eq!(leader.domain_sum(&own, NOW).demand.entry_hosts, 3);
    assert_eq!(leader.peer_demand(NOW).entry_hosts, 5);
    assert_eq!(follower.peer_demand(NOW).entry_hosts, 5);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(follower.peer_demand(later), DemandSum::default());
}

/// Guards against sums of an older version that are malformed here or the other way round, and
/// against reports to one that does not read them.
#[test]
fn older_versions_send_no_demand_and_get_none() {
    let text = r#"{"entry_hosts":2,"running":[["h",3]]}"#;
    let old: LoadSum = serde_json::from_str(text).expect("a sum of an older version");
    let new = LoadSum {
        demand: demand_of(0),
        ..old.clone()
    };
    let mut new = serde_json::to_value(&new).expect("it is plain data");
    let peers: Vec<Peer> = (0..12).map(|i| peer(i, i >= 2)).collect();

    let topology = ExchangeTopology::new(&peers, "e11", "d");

    assert_eq!(old.demand, DemandSum::default());
    new.as_object_mut().expect("a record").remove("demand");
    assert_eq!(new.to_string(), text);
    assert_eq!(topology.reports_to.len(), 2);
    assert!(topology.reports_demand_to.is_empty(), "{topology:?}");
}

/// Creates an entry host; the first two have the largest processor shares and lead.
fn peer(i: u16, reads_demand: bool) -> Peer {
    Peer {
        name: format!("e{i}").into(),
        failure_domain: "d".into(),
        address: ([127, 0, 0, 1], i).into(),
        forward_address: None,
        processor_share: if i < 2 { 0.5 } else { 0.1 },
        reads_demand,
    }
}

/// Guards against one report with impossible numbers that spoils the shares of all models.
#[test]
fn impossible_demand_is_discarded() {
    let mut demand = demand_of(0);
    for asked_per_s in [f64::NAN, -1.0, 1e300] {
        let mut impossible = demand.models[0].clone();
        impossible.asked_per_s = asked_per_s;
        demand.models.push(impossible);
    }

    assert_eq!(demand.discard_impossible(), 3);
    assert_eq!(demand.models.len(), 1);
}

/// Guards against a manager that has had no request itself and loads weights without a limit, as before
/// the first request of the day.
#[test]
fn requests_at_any_entry_host_are_traffic() {
    let total = DemandSum::of([&demand_of(0), &DemandSum::default()]);

    assert!(total.has_requests("engines"));
    assert!(!total.has_requests("another"));
    assert!(!DemandSum::default().has_requests("engines"));
}
