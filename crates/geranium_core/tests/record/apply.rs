//! Tests of operators' changes with concurrent changes, lost responses and restored
//! stores.

use geranium_core::id::StoreRevision;
use geranium_core::record::{
    ApplyError, ApplyOutcome, ApplyPlan, ApplyRequest, CurrentRecord, Expectation, Generation,
    KnownTopology, RecordKind, RecordSet, StoredRecord, WriterId,
};
use geranium_core::time::Timestamp;
use serde_json::{Value, json};

use crate::fixture::{account, current, document, drain, following, key, set_of, writer};

fn plan(
    value: Value,
    expected: u64,
    by: WriterId,
    current: &CurrentRecord,
    in_force: &RecordSet,
) -> Result<ApplyPlan, ApplyError> {
    let expected = Expectation::Generation(Generation(expected));
    let request = ApplyRequest::put(document(value), expected, "ana", by);
    let now = Timestamp::from_millis(100);
    ApplyPlan::new(&request, current, in_force, &KnownTopology::default(), now)
}

fn plan_in(value: Value, expected: u64, current: &CurrentRecord) -> Result<ApplyPlan, ApplyError> {
    plan(
        value,
        expected,
        writer(2, 1),
        current,
        &RecordSet::default(),
    )
}

#[test]
fn a_first_write_expects_an_absent_value() {
    let plan = plan_in(account("desk", 'a'), 0, &CurrentRecord::default()).expect("planned");

    assert_eq!(plan.expected, StoreRevision(0));
    assert_eq!(plan.record.generation(), Generation(1));
    assert!(!plan.unchanged);
}

#[test]
fn a_conflict_reports_the_winning_change_and_the_differences() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let winner = following(Some(&first), drain("out", "lima-2"), writer(1, 2), 20);

    let lost = plan_in(drain("out", "lima-3"), 1, &current(&winner, 8));

    let Err(ApplyError::Conflict(_, Generation(1), change, differences)) = lost else {
        panic!("expected a conflict, got {lost:?}");
    };
    assert_eq!(change.writer, writer(1, 2));
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].field, "target.failure_domain");
    assert_eq!(differences[0].new, Some(json!("lima-3")));
}

#[test]
fn one_of_two_concurrent_changes_applies_and_the_other_is_superseded() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let read = current(&first, 5);
    let held = RecordSet::default();
    let ana = plan(drain("out", "lima-2"), 1, writer(2, 1), &read, &held).expect("planned");
    let eva = plan(drain("out", "lima-3"), 1, writer(3, 1), &read, &held).expect("planned");

    let after = current(&ana.record, 6);

    assert_eq!(ana.resolve_outcome(&after), ApplyOutcome::Applied);
    assert_eq!(
        eva.resolve_outcome(&after),
        ApplyOutcome::Superseded(ana.record.change)
    );
}

#[test]
fn a_write_without_an_answer_is_resolved_by_reading_back() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let plan = plan_in(drain("out", "lima-2"), 1, &current(&first, 5)).expect("planned");
    let later = following(Some(&plan.record), drain("out", "lima-3"), writer(4, 1), 30);

    assert_eq!(
        plan.resolve_outcome(&current(&first, 5)),
        ApplyOutcome::NotApplied
    );
    assert_eq!(
        plan.resolve_outcome(&current(&plan.record, 6)),
        ApplyOutcome::Applied
    );
    assert_eq!(
        plan.resolve_outcome(&current(&later, 7)),
        ApplyOutcome::Applied
    );
    assert_eq!(
        plan.resolve_outcome(&CurrentRecord::default()),
        ApplyOutcome::Replan
    );
}

#[test]
fn a_change_beyond_the_kept_history_leaves_the_outcome_unknown() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let plan = plan_in(drain("out", "lima-2"), 1, &current(&first, 5)).expect("planned");
    let mut last = plan.record.clone();
    for i in 1..=20 {
        last = following(Some(&last), drain("out", "lima-3"), writer(4, i), 40 + i);
    }

    let outcome = plan.resolve_outcome(&current(&last, 30));

    assert_eq!(outcome, ApplyOutcome::Unknown(last.change));
}

#[test]
fn a_change_after_a_restored_store_outranks_what_is_in_force() {
    let old = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let newer = following(Some(&old), drain("out", "lima-2"), writer(1, 2), 20);
    let in_force: RecordSet = [newer.clone()].into_iter().collect();
    let restored = current(&old, 5);

    let stale = plan(
        drain("out", "lima-3"),
        1,
        writer(2, 1),
        &restored,
        &in_force,
    );
    let fresh = plan(
        drain("out", "lima-3"),
        2,
        writer(2, 2),
        &restored,
        &in_force,
    );

    assert!(matches!(stale, Err(ApplyError::Conflict(..))));
    let fresh = fresh.expect("planned");
    assert_eq!(fresh.expected, StoreRevision(5));
    assert!(fresh.record.rank() > newer.rank());
}

#[test]
fn a_repeated_apply_writes_nothing_but_a_restored_store_is_written_again() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let in_force: RecordSet = [first.clone()].into_iter().collect();
    let lost = CurrentRecord::default();

    let same = plan_in(drain("out", "lima-1"), 1, &current(&first, 5)).expect("planned");
    let again = plan(drain("out", "lima-1"), 1, writer(2, 2), &lost, &in_force).expect("planned");

    assert!(same.unchanged);
    assert!(!again.unchanged);
}

#[test]
fn a_deletion_leaves_a_tombstone_that_later_versions_follow() {
    let first = following(None, drain("out", "lima-1"), writer(1, 1), 10);
    let out = key(RecordKind::Drain, "out");
    let expected = Expectation::Generation(Generation(1));
    let request = ApplyRequest::delete(out, expected, "eva", writer(2, 1));
    let (held, topology) = (RecordSet::default(), KnownTopology::default());
    let now = Timestamp::from_millis(5);

    let plan =
        ApplyPlan::new(&request, &current(&first, 5), &held, &topology, now).expect("planned");
    let repeated = ApplyPlan::new(&request, &current(&plan.record, 6), &held, &topology, now);
    let created = plan_in(drain("out", "lima-2"), 2, &current(&plan.record, 6)).expect("planned");

    assert!(plan.record.is_deleted());
    assert!(plan.record.written_at() > first.written_at());
    assert!(matches!(repeated, Err(ApplyError::Conflict(..))));
    assert_eq!(created.record.generation(), Generation(3));
}

#[test]
fn a_change_that_contradicts_other_records_is_rejected() {
    let set = set_of([account("desk", 'a')]);
    let none = CurrentRecord::default();

    let rejected = plan(account("moderators", 'a'), 0, writer(1, 1), &none, &set);

    assert!(matches!(rejected, Err(ApplyError::Rejected(_, findings)) if findings.len() == 1));
}

#[test]
fn history_lists_the_last_changes_oldest_first() {
    let mut last: Option<StoredRecord> = None;
    for i in 1..=20 {
        last = Some(following(
            last.as_ref(),
            drain("out", "lima-1"),
            writer(1, i),
            i,
        ));
    }

    let history = last.expect("written").history;

    let generations: Vec<u64> = history.iter().map(|c| c.generation.0).collect();
    assert_eq!(generations, (4..20).collect::<Vec<u64>>());
}
