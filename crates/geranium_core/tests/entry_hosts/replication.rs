//! Tests of how records come into force on all hosts and never revert.

use std::time::Duration;

use geranium_core::event::EventKind;
use geranium_core::record::{ApplyOutcome, Expectation, StoredRecord};

use crate::fleet::{Fleet, address, drain, drain_key, host_id};

fn settled_fleet(domains: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::start(domains, hosts);
    fleet.run(Duration::from_secs(10));
    fleet
}

fn generation(fleet: &Fleet, domain: usize, host: usize) -> u64 {
    let records = fleet.host(domain, host).replica.records();
    records.generation(&drain_key("out")).0
}

#[test]
fn a_change_is_in_force_on_every_host_of_every_domain() {
    let mut fleet = settled_fleet(3, 3);

    let record = fleet.apply(1, 1, drain("out", 1));
    let took = fleet.run_while(Duration::from_secs(5), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_millis(50), "took {took:?}");
}

#[test]
fn a_change_whose_writer_died_before_the_answer_is_in_force_too() {
    let mut fleet = settled_fleet(3, 3);

    let record = fleet.apply_with(1, 1, drain("out", 1), false);
    fleet.kill(1, 1);
    let took = fleet.run_while(Duration::from_secs(5), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_secs(1), "took {took:?}");
}

#[test]
fn a_host_cut_off_from_the_platform_learns_from_its_peers() {
    for host in 0..3 {
        let mut fleet = settled_fleet(3, 3);
        fleet.cut_host_from_store(0, host, true);
        fleet.run(Duration::from_secs(5));

        let record = fleet.apply(1, 1, drain("out", 1));
        let took = fleet.run_while(Duration::from_secs(10), |f| f.is_everywhere(&record));

        assert!(took <= Duration::from_secs(3), "host {host} took {took:?}");
    }
}

#[test]
fn a_domain_cut_off_from_the_platform_learns_from_other_domains() {
    let mut fleet = settled_fleet(3, 3);
    for host in 0..3 {
        fleet.cut_host_from_store(2, host, true);
    }
    fleet.run(Duration::from_secs(5));

    let record = fleet.apply(0, 0, drain("out", 1));
    let took = fleet.run_while(Duration::from_secs(10), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_secs(3), "took {took:?}");
}

#[test]
fn hosts_without_the_store_do_not_refresh_each_others_store_age() {
    let mut fleet = settled_fleet(2, 3);
    fleet.latency = Duration::from_millis(400);
    fleet.set_store_down(true);

    fleet.run(Duration::from_secs(120));

    for host in fleet.hosts.values() {
        let age = host.replica.status(fleet.now).store_age;
        let age = age.expect("store age is known");
        assert!(
            age >= Duration::from_secs(110),
            "{}: {age:?}",
            host.info.host
        );
    }
}

#[test]
fn a_domain_cut_off_from_everything_catches_up_when_it_is_back() {
    let mut fleet = settled_fleet(3, 3);
    fleet.cut_domain(2, true);
    for host in 0..3 {
        fleet.cut_host_from_store(2, host, true);
    }
    let record = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(3_600));
    assert_eq!(generation(&fleet, 2, 0), 0);

    fleet.cut_domain(2, false);
    let took = fleet.run_while(Duration::from_secs(60), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_secs(5), "took {took:?}");
}

#[test]
fn a_restarted_host_without_the_platform_asks_its_peers() {
    let mut fleet = settled_fleet(2, 3);
    let record = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    fleet.set_store_down(true);

    fleet.start_host(0, 1, &[address(0, 0), address(1, 0)]);
    let is_synced = |f: &Fleet| f.host(0, 1).replica.is_synced(f.now);
    let took = fleet.run_while(Duration::from_secs(10), is_synced);

    assert!(took <= Duration::from_secs(2), "took {took:?}");
    assert!(fleet.is_everywhere(&record));
}

#[test]
fn every_host_replaced_in_turn_during_an_outage_keeps_the_records() {
    let mut fleet = settled_fleet(2, 3);
    let record = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    fleet.set_store_down(true);
    let seeds = [address(0, 0), address(0, 1), address(1, 0)];

    for domain in 0..2 {
        for host in 0..3 {
            fleet.start_host(domain, host, &seeds);
            fleet.run(Duration::from_secs(5));
        }
    }

    assert!(fleet.is_everywhere(&record));
}

#[test]
fn a_whole_domain_replaced_at_once_during_an_outage_asks_another_domain() {
    let mut fleet = settled_fleet(2, 3);
    let record = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    fleet.set_store_down(true);

    for host in 0..3 {
        fleet.start_host(0, host, &[address(0, 0), address(1, 0)]);
    }
    let took = fleet.run_while(Duration::from_secs(30), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_secs(5), "took {took:?}");
}

#[test]
fn a_store_restored_from_an_older_copy_reverts_nothing_and_is_repaired() {
    let mut fleet = settled_fleet(3, 3);
    fleet.apply(0, 0, drain("kept", 1));
    fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    let copy = fleet.store.clone();
    let second = fleet.apply(0, 0, drain("out", 2));
    let new = fleet.apply(0, 0, drain("new", 1));
    fleet.run(Duration::from_secs(1));

    fleet.set_store_down(true);
    fleet.run(Duration::from_secs(5));
    fleet.store = copy;
    fleet.set_store_down(false);
    let is_repaired = |f: &Fleet| {
        let holds = |r: &StoredRecord| f.store.values.get(&r.key).is_some_and(|v| v.0 == *r);
        holds(&second) && holds(&new)
    };
    fleet.run_while(Duration::from_secs(60), is_repaired);
    fleet.run(Duration::from_secs(1));

    assert!(fleet.is_everywhere(&second));
    assert!(fleet.is_everywhere(&new));
    assert_eq!(fleet.count_events(EventKind::RecordRestored), 2);
}

#[test]
fn a_host_that_starts_from_a_restored_store_learns_what_its_peers_hold() {
    let mut fleet = settled_fleet(1, 3);
    fleet.apply(0, 0, drain("out", 1));
    let copy = fleet.store.clone();
    let second = fleet.apply(0, 0, drain("out", 2));
    fleet.run(Duration::from_secs(1));
    fleet.store = copy;

    fleet.start_host(0, 2, &[address(0, 0)]);
    fleet.run_while(Duration::from_secs(10), |f| f.is_everywhere(&second));

    assert_eq!(generation(&fleet, 0, 2), 2);
}

#[test]
fn a_restarted_host_is_not_synced_by_a_restored_store_before_its_peers() {
    for host in 0..3 {
        let mut fleet = settled_fleet(1, 3);
        fleet.apply(0, 0, drain("out", 1));
        let copy = fleet.store.clone();
        fleet.apply(0, 0, drain("out", 2));
        fleet.run(Duration::from_secs(1));
        fleet.store = copy;

        let seeds = [address(0, 0), address(0, 1), address(0, 2)];
        fleet.start_host(0, host, &seeds);
        let is_synced = |f: &Fleet| f.host(0, host).replica.is_synced(f.now);
        fleet.run_while(Duration::from_secs(10), is_synced);

        assert_eq!(generation(&fleet, 0, host), 2, "host {host}");
    }
}

#[test]
fn a_domain_with_stalled_watches_learns_from_other_domains() {
    let mut fleet = settled_fleet(3, 3);
    for host in 0..3 {
        fleet.stalled_watches.insert(host_id(2, host));
    }

    let record = fleet.apply(0, 0, drain("out", 1));
    let took = fleet.run_while(Duration::from_secs(90), |f| f.is_everywhere(&record));

    assert!(took <= Duration::from_secs(3), "took {took:?}");
}

#[test]
fn a_single_domain_with_stalled_watches_reads_the_store_again() {
    let mut fleet = settled_fleet(1, 3);
    for host in 0..3 {
        fleet.stalled_watches.insert(host_id(0, host));
    }

    let record = fleet.apply_with(0, 0, drain("out", 1), false);
    fleet.run_while(Duration::from_secs(90), |f| f.is_everywhere(&record));
}

#[test]
fn exactly_one_of_two_racing_operators_wins_each_of_a_hundred_rounds() {
    let mut fleet = settled_fleet(3, 3);
    let mut last = fleet.apply(0, 0, drain("out", 0));
    for round in 1..=100 {
        fleet.run(Duration::from_millis(20));
        let expected = Expectation::Generation(last.generation());
        let ana = fleet.plan(0, round % 3, drain("out", 2 * round), expected);
        let eva = fleet.plan(1, round % 3, drain("out", 2 * round + 1), expected);
        let (ana, eva) = (ana.expect("plan is valid"), eva.expect("plan is valid"));

        let (first, second) = if round % 2 == 0 { (0, 1) } else { (1, 0) };
        let plans = [&ana, &eva];
        let won = fleet.execute(first, round % 3, plans[first]);
        let lost = fleet.execute(second, round % 3, plans[second]);
        let current = fleet.store.current(&ana.record.key);

        assert!(won && !lost, "round {round}");
        assert_eq!(
            plans[first].resolve_outcome(&current),
            ApplyOutcome::Applied
        );
        let winner = plans[first].record.change.clone();
        assert_eq!(
            plans[second].resolve_outcome(&current),
            ApplyOutcome::Superseded(winner)
        );
        last = plans[first].record.clone();
    }
    fleet.run(Duration::from_secs(2));

    assert!(fleet.is_everywhere(&last));
    assert_eq!(last.generation().0, 101);
}

#[test]
fn a_push_of_an_outdated_record_reverts_nothing_and_is_reported_stale() {
    let mut fleet = settled_fleet(1, 3);
    let first = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    let second = fleet.apply(0, 0, drain("out", 2));
    fleet.run(Duration::from_secs(1));

    let now = fleet.now;
    let old_peer = fleet.host(0, 1).info.clone();
    let host = fleet.host_mut(0, 0);
    let effects = host.replica.handle_push(&old_peer, [first], now);

    assert_eq!(generation(&fleet, 0, 0), second.generation().0);
    assert_eq!(effects.len(), 1);
    assert!(format!("{effects:?}").contains("RecordStale"));
}

#[test]
fn a_resumed_host_catches_up_and_reverts_nothing() {
    let mut fleet = settled_fleet(2, 3);
    fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(1));
    fleet.pause(0, 2);
    fleet.run(Duration::from_secs(1));
    let second = fleet.apply(0, 0, drain("out", 2));
    fleet.run(Duration::from_secs(30));

    fleet.resume(0, 2);
    let took = fleet.run_while(Duration::from_secs(10), |f| f.is_everywhere(&second));

    assert!(took <= Duration::from_secs(2), "took {took:?}");
    assert_eq!(fleet.store.values[&second.key].0, second);
}

#[test]
fn two_hosts_of_each_domain_watch_and_an_idle_fleet_does_not_poll_the_store() {
    let mut fleet = settled_fleet(3, 4);
    let before = fleet.store.calls;

    fleet.run(Duration::from_secs(50));

    let watching = fleet
        .hosts
        .values()
        .filter(|h| h.replica.status(fleet.now).store_age == Some(Duration::ZERO));
    assert_eq!(watching.count(), 6);
    assert_eq!(fleet.store.calls - before, 0);
}

#[test]
fn the_in_force_report_lists_silent_hosts_separately() {
    let mut fleet = settled_fleet(2, 3);
    fleet.pause(0, 1);
    let record = fleet.apply(0, 0, drain("out", 1));
    fleet.run(Duration::from_secs(5));

    let host = fleet.host(0, 0);
    let digest = host.replica.records().digest();
    let report = host.membership.in_force(digest);

    assert_eq!(report.total(), 6);
    assert_eq!(report.in_force.len(), 5);
    assert_eq!(report.silent, [fleet.host(0, 1).info.host.clone()]);
    assert!(!fleet.is_everywhere(&record));
}

#[test]
fn hosts_of_a_silent_domain_are_reported_silent() {
    let mut fleet = settled_fleet(2, 2);
    fleet.cut_domain(1, true);
    fleet.run(Duration::from_secs(60));

    let host = fleet.host(0, 0);
    let digest = host.replica.records().digest();
    let report = host.membership.in_force(digest);

    assert_eq!(report.in_force, [host_id(0, 0), host_id(0, 1)]);
    assert_eq!(report.silent.len(), 2);
}
