//! Tests of record sets: merging, digests and views.

use geranium_core::id::{FailureDomainId, HostId};
use geranium_core::record::{MergeOutcome, RecordKind, RecordSet, StoredRecord};
use geranium_core::time::Timestamp;
use proptest::prelude::*;
use serde_json::json;

use crate::fixture::{account, drain, following, key, model_v1, model_v2, set_of, writer};

/// Returns versions of two records. The first record has two versions of
/// generation 2, one of them written after the store was restored.
fn versions() -> Vec<StoredRecord> {
    let a1 = following(None, model_v1(), writer(1, 1), 10);
    let a2 = following(Some(&a1), model_v2(), writer(1, 2), 20);
    let a2_after_restore = following(Some(&a1), model_v1(), writer(2, 1), 30);
    let a3 = StoredRecord::following(
        Some(&a2),
        a2.key.clone(),
        None,
        "ana",
        writer(1, 3),
        Timestamp::from_millis(25),
    );
    let b1 = following(None, drain("out", "lima-1"), writer(3, 1), 5);
    vec![a1, a2, a2_after_restore, a3, b1]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn merging_does_not_depend_on_order_or_repetition(
        order in Just(vec![0, 0, 1, 1, 2, 2, 3, 3, 4, 4]).prop_shuffle()
    ) {
        let versions = versions();
        let expected: RecordSet = versions.iter().cloned().collect();

        let merged: RecordSet = order.into_iter().map(|i| versions[i].clone()).collect();

        prop_assert_eq!(merged.digest(), expected.digest());
        prop_assert_eq!(merged.index(), expected.index());
    }
}

#[test]
fn older_versions_are_stale_and_a_deletion_never_reverts() {
    let [a1, a2, a2_after_restore, a3, _] = versions().try_into().expect("five versions");
    let mut set = RecordSet::default();

    let outcomes = [a3.clone(), a1, a2, a2_after_restore, a3].map(|r| set.merge(r));

    assert_eq!(
        outcomes,
        [
            MergeOutcome::Adopted,
            MergeOutcome::Stale,
            MergeOutcome::Stale,
            MergeOutcome::Stale,
            MergeOutcome::Same,
        ]
    );
    assert_eq!(set.models().count(), 0);
    assert_eq!(set.len(), 1);
}

#[test]
fn the_later_change_wins_between_branches_of_one_generation() {
    let [_, a2, a2_after_restore, _, _] = versions().try_into().expect("five versions");
    let mut set = RecordSet::default();

    set.merge(a2_after_restore.clone());
    let outcome = set.merge(a2);

    assert_eq!(outcome, MergeOutcome::Stale);
    let held = set.get(&a2_after_restore.key).expect("present");
    assert_eq!(held.stored.writer(), a2_after_restore.writer());
}

#[test]
fn the_last_readable_version_stays_in_force_if_the_newest_is_unreadable() {
    let first = following(None, model_v2(), writer(1, 1), 1);
    let mut newer = model_v2();
    newer["schema_version"] = json!(3);
    let second = StoredRecord::following(
        Some(&first),
        first.key.clone(),
        Some(newer),
        "ana",
        writer(1, 2),
        Timestamp::from_millis(2),
    );
    let mut set = RecordSet::default();
    set.merge(first);

    let outcome = set.merge(second.clone());

    let entry = set.get(&second.key).expect("present");
    assert_eq!(outcome, MergeOutcome::Adopted);
    assert!(entry.unreadable.is_some());
    assert_eq!(entry.stored.generation(), second.generation());
    assert_eq!(set.models().count(), 1);
}

#[test]
fn index_comparison_finds_exactly_the_differing_records() {
    let ours = set_of([account("desk", 'a'), drain("out", "lima-1")]);
    let mut theirs = ours.clone();
    let out = ours.get(&key(RecordKind::Drain, "out")).expect("present");
    let newer = following(Some(&out.stored), drain("out", "lima-2"), writer(9, 9), 9);
    theirs.merge(newer.clone());

    let wanted = ours.keys_newer_in(&theirs.index());
    let pushed = theirs.newer_than(&ours.index());

    assert_eq!(wanted, [key(RecordKind::Drain, "out")]);
    assert_eq!(pushed.len(), 1);
    assert_eq!(*pushed[0], newer);
    assert!(theirs.keys_newer_in(&ours.index()).is_empty());
}

#[test]
fn views_show_what_is_in_force() {
    let set = set_of([
        account("moderators", 'a'),
        model_v2(),
        drain("out", "lima-2"),
    ]);

    let drained = set.drained();

    assert!(drained.covers(&FailureDomainId::new("lima-2"), &HostId::new("h1")));
    assert!(!drained.covers(&FailureDomainId::new("lima-1"), &HostId::new("h1")));
    assert_eq!(set.accounts().count(), 1);
    assert_eq!(set.models().count(), 1);
    assert_eq!(set.services().count(), 0);
}

#[test]
fn a_stored_record_round_trips_and_a_mismatched_key_is_refused() {
    let record = following(None, model_v2(), writer(1, 1), 1);

    let back = StoredRecord::from_store(&record.key.store_key(), &record.to_store());
    let foreign = StoredRecord::from_store("/geranium/records/model/other", &record.to_store());

    assert_eq!(back, Ok(record));
    assert!(foreign.is_err());
}
