//! Tests of engine reports that are shared within a failure domain.

use std::time::Duration;

use geranium_core::engine::{EnginePhase, EngineReport};
use geranium_core::id::{FencingNumber, HostId, Incarnation};
use geranium_core::time::Timestamp;

use crate::fleet::Fleet;

pub fn report(sequence: u64, phase: EnginePhase) -> EngineReport {
    EngineReport {
        host: HostId::new("w1"),
        incarnation: Incarnation(1),
        sequence,
        fencing: FencingNumber(1),
        assignment: None,
        phase,
        leaving: false,
        running: 0,
        waiting: 0,
        kv_free_tokens: 0,
    }
}

fn heard_at(fleet: &Fleet, host: usize) -> Option<Timestamp> {
    let reports = fleet.host(0, host).membership.reports();
    reports.get(&HostId::new("w1")).map(|entry| entry.heard_at)
}

/// Lets one host poll the engine `times` times, every 100 ms.
fn poll(fleet: &mut Fleet, observer: usize, times: u64, phase: EnginePhase) {
    for sequence in 1..=times {
        let now = fleet.now;
        let host = fleet.host_mut(0, observer);
        host.membership.observe(report(sequence, phase), now);
        fleet.run(Duration::from_millis(100));
    }
}

#[test]
fn each_heartbeat_of_an_observer_confirms_an_unchanged_report() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));

    poll(&mut fleet, 0, 50, EnginePhase::Warm);

    for host in 0..3 {
        let age = fleet
            .now
            .since(heard_at(&fleet, host).expect("report is known"));
        assert!(age <= Duration::from_millis(500), "host {host}: {age:?}");
    }
}

#[test]
fn a_silent_engine_is_no_longer_confirmed() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    poll(&mut fleet, 0, 20, EnginePhase::Warm);
    let last_poll = fleet.now;

    fleet.run(Duration::from_secs(3));

    for host in 1..3 {
        // The observer confirms the report only until it detects the silence.
        let heard_at = heard_at(&fleet, host);
        let limit = last_poll + Duration::from_millis(600);
        assert!(heard_at.is_none_or(|at| at <= limit), "host {host}");
    }
}

#[test]
fn a_resumed_observer_does_not_confirm_reports_from_before_its_pause() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    poll(&mut fleet, 0, 20, EnginePhase::Warm);
    let paused_at = fleet.now;
    fleet.pause(0, 0);
    fleet.run(Duration::from_secs(10));

    fleet.resume(0, 0);
    fleet.run(Duration::from_secs(1));

    for host in 1..3 {
        let heard_at = heard_at(&fleet, host);
        let limit = paused_at + Duration::from_millis(500);
        assert!(heard_at.is_none_or(|at| at <= limit), "host {host}");
    }
}

#[test]
fn a_state_change_is_shared_immediately() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    poll(&mut fleet, 0, 20, EnginePhase::Warm);

    let now = fleet.now;
    let host = fleet.host_mut(0, 0);
    host.membership.observe(report(21, EnginePhase::Cold), now);
    let is_known = |fleet: &Fleet| {
        fleet.hosts.values().all(|host| {
            let entry = host.membership.reports().get(&HostId::new("w1"));
            entry.is_some_and(|e| e.report.phase == EnginePhase::Cold)
        })
    };
    let took = fleet.run_while(Duration::from_secs(1), is_known);

    assert!(took <= Duration::from_millis(150), "took {took:?}");
}

#[test]
fn heartbeats_queued_while_the_receiver_was_paused_confirm_nothing() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    poll(&mut fleet, 0, 20, EnginePhase::Warm);
    fleet.pause(0, 1);
    let paused_at = fleet.now;
    poll(&mut fleet, 0, 20, EnginePhase::Warm);
    fleet.kill(0, 0);
    fleet.run(Duration::from_secs(20));

    fleet.resume(0, 1);
    fleet.run(Duration::from_millis(50));

    let heard_at = heard_at(&fleet, 1).expect("report is known");
    assert!(heard_at <= paused_at, "{heard_at} after {paused_at}");
}

#[test]
fn a_restarted_host_gets_reports_that_were_shared_before_its_restart() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    poll(&mut fleet, 0, 20, EnginePhase::Warm);

    // Without a seed, the observer contacts it first, with the state that it kept
    // of the previous incarnation.
    fleet.start_host(0, 1, &[]);
    for _ in 0..20 {
        let now = fleet.now;
        let host = fleet.host_mut(0, 0);
        host.membership.observe(report(20, EnginePhase::Warm), now);
        fleet.run(Duration::from_millis(100));
    }

    assert!(heard_at(&fleet, 1).is_some());
}

#[test]
fn an_engine_incarnation_that_hosts_disagree_about_is_not_reported() {
    let mut fleet = Fleet::start(1, 3);
    fleet.run(Duration::from_secs(3));
    let restarted = EngineReport {
        incarnation: Incarnation(9),
        ..report(1, EnginePhase::Cold)
    };
    let server = HostId::new("w1");
    let known = |fleet: &Fleet| {
        let reports = fleet.host(0, 2).membership.reports();
        reports.get(&server).map(|entry| entry.report.incarnation)
    };

    let mut seen = Vec::new();
    for round in 0..60 {
        let now = fleet.now;
        // From round 20 to 29, host 0 still reports the old incarnation while host 1
        // reports the new one.
        let is_old = round < 30;
        let of_first = if is_old {
            report(round + 1, EnginePhase::Warm)
        } else {
            restarted.clone()
        };
        fleet.host_mut(0, 0).membership.observe(of_first, now);
        if round >= 20 {
            let membership = &mut fleet.host_mut(0, 1).membership;
            membership.observe(restarted.clone(), now);
        }
        fleet.run(Duration::from_millis(100));
        seen.push(known(&fleet));
    }

    seen.dedup();
    let (old, new) = (Some(Incarnation(1)), Some(Incarnation(9)));
    assert_eq!(seen[seen.len() - 3..], [old, None, new]);
}
