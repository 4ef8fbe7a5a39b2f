//! Tests of a model that is far below its share while another one is served.

mod engine;
mod fixture;
mod simulation;

use std::time::Duration;

use engine::{model, profile};
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;
use simulation::SERVICE;

/// Interval at which the manager updates the shares.
const INTERVAL: Duration = Duration::from_millis(200);
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn two_models() -> Vec<ModelProfile> {
    vec![model("large", 4, 0.5), model("small", 2, 0.5)]
}

/// Creates the demand that needs a number of hosts.
fn demand(hosts_needed: f64) -> Option<ModelDemand> {
    Some(ModelDemand {
        arrivals_per_s: hosts_needed * 10.0,
        max_running: 10.0,
        hosts_needed,
        higher_priorities: 0,
    })
}

/// Creates a host that is ready and holds the weights of a model.
fn host(id: &str, domain: &str, staged: &str) -> Host {
    Host {
        fabric_domain: Some(domain.into()),
        staged: vec![staged.into()],
        ..fixture::server(id, SERVICE, "a")
    }
}

/// Creates the members of an open group.
fn open_group(model: &str, size: usize, number: usize) -> Vec<Host> {
    let member = |rank| Host {
        model: Some(model.into()),
        group: fixture::group(Some(Membership {
            group: format!("g{number}").into(),
            epoch: 1,
            rank,
            state: GroupState::Open,
        })),
        ..host(
            &format!("{model}-{number}{rank}"),
            &format!("fabric-{model}"),
            model,
        )
    };
    (0..size).map(member).collect()
}

/// Creates a directory that knows hosts and the reports of their state.
fn directory(hosts: Vec<Host>) -> Directory {
    let mut directory = Directory::default();
    for host in hosts {
        let report = fixture::report(&host, 1);
        directory.put(host);
        directory.apply_report(&report.0, &report.1);
    }
    directory
}

/// Guards against shares that are created before any host is known, so that the first readings,
/// of groups that are only beginning to fill, take the hosts of the model that fills more slowly.
#[test]
fn the_first_readings_do_not_replace_the_initial_shares_of_hosts_known_later() {
    let profile = profile(two_models());
    let mut shares = DemandShares::new(&profile, 0, START);
    let mut now = START;
    for _ in 0..50 {
        now = now + INTERVAL;
        shares.update(&profile, &[demand(0.0), demand(0.0)], 48, now);
    }

    for i in 1..=5 {
        now = now + INTERVAL;
        let filled = f64::from(i) / 5.0;
        shares.update(
            &profile,
            &[demand(4.0 * filled), demand(20.0 * filled)],
            48,
            now,
        );
    }

    assert!(shares.shares()[0] > 0.42, "{shares:?}");
}

/// Guards against a manager that takes over in the middle of a day and moves hosts towards the
/// operator's initial shares, and back again.
#[test]
fn a_manager_that_takes_over_starts_at_the_demand() {
    let profile = profile(two_models());
    let mut shares = DemandShares::take_over(&profile, 48, START);

    shares.update(&profile, &[demand(10.0), None], 48, START + INTERVAL);
    let unknown = shares.shares()[0];
    shares.update(
        &profile,
        &[demand(10.0), demand(30.0)],
        48,
        START + INTERVAL * 2,
    );

    assert!((unknown - 0.5).abs() < 0.03, "{unknown}");
    // A quarter of the need, and a twentieth of the hosts by the initial shares.
    assert!((shares.shares()[0] - 0.264).abs() < 0.01, "{shares:?}");
}

/// Guards against a burst for one model that takes the hosts of another one, whose requests have a
/// higher priority, in proportion; and against hosts held back from it while there are enough.
#[test]
fn a_burst_of_a_lower_priority_leaves_hosts_to_the_higher_one() {
    let profile = profile(two_models());
    let share = |large, small| {
        let mut shares = DemandShares::take_over(&profile, 48, START);
        let large = demand(large).map(|d| ModelDemand {
            higher_priorities: 1,
            ..d
        });
        shares.update(&profile, &[large, demand(small)], 48, START + INTERVAL);
        shares.shares()[1]
    };

    // By their needs alone, the small model would have a quarter of the hosts.
    assert!(share(60.0, 20.0) > 0.28, "{}", share(60.0, 20.0));
    let lacking_one = share(29.0, 20.0);
    let enough = share(28.0, 20.0);
    assert!(
        (lacking_one - enough).abs() < 0.01,
        "{lacking_one}, {enough}"
    );
}

/// Guards against shares that leave the operator's initial ones while no host is known: every share
/// was at least that of one group then, which is no small part of no hosts.
#[test]
fn the_initial_shares_stay_while_no_host_is_known() {
    let profile = profile(two_models());
    let mut shares = DemandShares::new(&profile, 0, START);

    for i in 1..=10 {
        shares.update(&profile, &[None, None], 0, START + INTERVAL * i);
    }

    assert_eq!(shares.shares(), [0.5, 0.5]);
}

/// Guards against a model that lacks most of its groups and gets no loads, as the other one is
/// a little below its share as well: hosts that no group can use count in the shares of both.
#[test]
fn the_model_that_lacks_more_of_its_share_gets_the_loads() {
    let mut hosts = open_group("large", 4, 0);
    hosts.extend((1..5).flat_map(|number| open_group("small", 2, number)));
    hosts.extend((0..8).map(|i| host(&format!("alone-{i}"), &format!("fabric-{i}"), "small")));
    let directory = directory(hosts);
    let mut planner = simulation::planner("m", START);
    planner.set_favours_deficits(true);

    planner.request_supply();

    let shares = [0.5, 0.5];
    let orders = planner.plan(
        &directory,
        SERVICE,
        &profile(two_models()),
        &shares,
        true,
        START,
    );

    let loads = orders
        .iter()
        .filter(|o| matches!(o.kind, OrderKind::Stage { .. }));
    let loading: Vec<&str> = loads.map(|o| &*o.host).collect();
    let of_large = loading.iter().filter(|id| id.starts_with("large")).count();
    let of_small = loading.iter().filter(|id| id.starts_with("small")).count();
    assert!(of_small >= 5 && of_large <= 1, "{loading:?}");
    let supply = planner.supply().iter();
    let supply: Vec<(f64, f64, usize)> = supply
        .map(|s| (s.target_hosts, s.hosts, s.open_groups))
        .collect();
    assert_eq!(supply, [(10.0, 4.0, 1), (10.0, 8.0, 4)]);
}
