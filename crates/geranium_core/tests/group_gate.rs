//! Tests of the gate of replica groups.

mod group_fixture;

use std::time::Duration;

use geranium_core::engine::{EnginePhase, EngineReport, HostState};
use geranium_core::event::EventKind;
use geranium_core::group::{GroupConfig, GroupGate, GroupTable, ServingGroup, Temperature};
use geranium_core::id::{FencingNumber, GroupId, Incarnation};
use geranium_core::record::DrainTarget;
use geranium_core::time::Timestamp;
use group_fixture::{domain, entry, fabric, host, member, spec, warm_report};

const START: Timestamp = Timestamp::from_millis(1_000);

struct Fixture {
    gate: GroupGate,
    table: GroupTable,
    id: GroupId,
}

/// Creates a gate with one group of two members that both reported warm at `START`.
fn open_gate() -> Fixture {
    let mut table = GroupTable::new(domain());
    let id = table
        .form(&spec("v1", 1), &fabric(), vec![member("h1"), member("h2")])
        .expect("free hosts");
    table.stamp(group_fixture::FIRST_INCARNATION, 0);
    let mut gate = GroupGate::new(GroupConfig::default(), domain());
    gate.set_table(&table).expect("valid table");
    gate.set_hosts(&[entry("h1"), entry("h2")]);
    for rank in 0..2 {
        gate.observe(START, &warm_report(&id, &table.groups()[&id], rank, 1));
    }
    Fixture { gate, table, id }
}

fn evaluate(gate: &mut GroupGate, now: Timestamp) -> (Vec<ServingGroup>, Vec<EventKind>) {
    let mut events = Vec::new();
    let open = gate.evaluate(now, &mut events);
    (open, events.into_iter().map(|e| e.kind).collect())
}

/// Changes the report of the second member and returns whether the gate stays open.
fn stays_open_with(change: impl FnOnce(&mut EngineReport)) -> bool {
    let mut f = open_gate();
    evaluate(&mut f.gate, START);
    let mut report = warm_report(&f.id, &f.table.groups()[&f.id], 1, 2);
    change(&mut report);
    f.gate.observe(START, &report);
    !evaluate(&mut f.gate, START).0.is_empty()
}

#[test]
fn a_group_opens_once_every_member_is_ready() {
    let mut f = open_gate();

    let (open, events) = evaluate(&mut f.gate, START);

    assert_eq!(open.len(), 1);
    assert_eq!(open[0].head, host("h1"));
    assert_eq!(open[0].temperature, Temperature::Warm);
    assert_eq!(events, [EventKind::GateOpened]);
}

#[test]
fn a_member_whose_report_does_not_match_the_table_closes_the_gate() {
    assert!(stays_open_with(|_| {}));
    assert!(stays_open_with(|r| r.phase = EnginePhase::Cold));
    assert!(!stays_open_with(|r| r.phase = EnginePhase::Loading));
    assert!(!stays_open_with(|r| r.leaving = true));
    assert!(!stays_open_with(|r| r.assignment = None));
    assert!(!stays_open_with(|r| {
        let assignment = r.assignment.as_mut().expect("assigned");
        assignment.fencing = FencingNumber(99);
    }));
    assert!(!stays_open_with(|r| {
        let assignment = r.assignment.as_mut().expect("assigned");
        assignment.adapters.clear();
    }));
    assert!(!stays_open_with(|r| {
        let assignment = r.assignment.as_mut().expect("assigned");
        assignment.rank = 0;
    }));
}

#[test]
fn a_silent_member_closes_the_gate_within_a_second() {
    let mut f = open_gate();
    evaluate(&mut f.gate, START);
    let later = START + Duration::from_millis(900);
    f.gate
        .observe(later, &warm_report(&f.id, &f.table.groups()[&f.id], 0, 2));

    let (open, events) = evaluate(&mut f.gate, later);

    assert!(open.is_empty());
    assert_eq!(events, [EventKind::GateClosed]);
    assert_eq!(f.gate.closed_reason(&f.id), Some("host h2 is silent"));
}

#[test]
fn gates_are_closed_after_a_process_pause() {
    let mut f = open_gate();
    let (open, _) = evaluate(&mut f.gate, START);
    let valid_until = f.gate.valid_until().expect("open group");

    let resumed = START + Duration::from_secs(5);

    assert!(f.gate.is_open(START, &open[0].group));
    assert!(!f.gate.is_open(resumed, &open[0].group));
    assert!(valid_until < START + Duration::from_secs(1));
}

#[test]
fn an_older_table_is_ignored() {
    let mut f = open_gate();
    let empty = GroupTable::new(domain());

    let replaced = f.gate.set_table(&empty);

    assert_eq!(replaced, Ok(false));
    assert_eq!(evaluate(&mut f.gate, START).0.len(), 1);
}

#[test]
fn a_drained_failure_domain_or_host_closes_the_gate() {
    let targets = [
        DrainTarget::FailureDomain(domain()),
        DrainTarget::Host(host("h2")),
    ];
    for target in targets {
        let mut f = open_gate();
        evaluate(&mut f.gate, START);

        f.gate.set_records(&[], &[target]);
        let (out, _) = evaluate(&mut f.gate, START);
        f.gate.set_records(&[], &[]);
        let (back, _) = evaluate(&mut f.gate, START);

        assert!(out.is_empty());
        assert_eq!(back.len(), 1);
    }
}

#[test]
fn a_host_that_the_platform_lists_as_leaving_closes_the_gate() {
    let mut f = open_gate();
    let mut leaving = entry("h1");
    leaving.state = HostState::Leaving;

    f.gate.set_hosts(&[leaving, entry("h2")]);
    let (open, _) = evaluate(&mut f.gate, START);

    assert!(open.is_empty());
}

#[test]
fn a_report_of_an_ended_incarnation_is_ignored() {
    let mut f = open_gate();
    let group = f.table.groups()[&f.id].clone();
    let mut restarted = warm_report(&f.id, &group, 1, 1);
    restarted.incarnation = Incarnation(2);
    restarted.assignment = None;
    f.gate.observe(START, &restarted);

    let accepted = f.gate.observe(START, &warm_report(&f.id, &group, 1, 9));

    assert!(!accepted);
    assert!(evaluate(&mut f.gate, START).0.is_empty());
}

#[test]
fn a_restarted_member_changes_the_generation() {
    let mut f = open_gate();
    let (before, _) = evaluate(&mut f.gate, START);
    let mut restarted = warm_report(&f.id, &f.table.groups()[&f.id], 1, 1);
    restarted.incarnation = Incarnation(2);
    restarted.phase = EnginePhase::Cold;

    f.gate.observe(START, &restarted);
    let (after, events) = evaluate(&mut f.gate, START);

    assert_ne!(before[0].generation, after[0].generation);
    assert_eq!(after[0].temperature, Temperature::Cold);
    assert_eq!(events, [EventKind::GroupCold]);
}

#[test]
fn a_report_delayed_by_a_process_pause_opens_no_gate() {
    let mut f = open_gate();
    let resumed = START + Duration::from_secs(5);
    let group = f.table.groups()[&f.id].clone();

    for rank in 0..2 {
        f.gate.observe(START, &warm_report(&f.id, &group, rank, 2));
    }
    let (open, _) = evaluate(&mut f.gate, resumed);

    assert!(open.is_empty());
}
