//! The history of store changes holds few bytes, and leads every reader to the same contents.

use std::collections::BTreeMap;

use geranium_core::id::StoreRevision;
use geranium_entry::change::Change;
use geranium_entry::change_form::ChangeForm;
use geranium_entry::change_history::ChangeHistory;
use geranium_platform::{StoredValue, WatchBatch, WatchChange};
use proptest::prelude::*;

/// Size limit that no history of these tests reaches.
const UNLIMITED: usize = usize::MAX;

fn put(key: &str, value: Vec<u8>, revision: u64) -> WatchChange {
    WatchChange::Put(StoredValue {
        key: key.to_owned(),
        value: value.into(),
        revision: StoreRevision(revision),
    })
}

fn deletion(key: &str, revision: u64) -> WatchChange {
    WatchChange::Deleted {
        key: key.to_owned(),
        revision: StoreRevision(revision),
    }
}

fn batch(changes: Vec<WatchChange>, revision: u64) -> WatchBatch {
    WatchBatch {
        changes,
        revision: StoreRevision(revision),
    }
}

/// Returns a history that was started at revision 1.
fn history(max_bytes: usize) -> ChangeHistory {
    let mut history = ChangeHistory::new(max_bytes);
    history.start(StoreRevision(1));
    history
}

/// Returns one change for each transaction of keys, the first at revision 2.
fn changes_of(transactions: &[Vec<(u8, Option<u8>)>]) -> Vec<Vec<WatchChange>> {
    let mut changes = Vec::new();
    for (i, keys) in transactions.iter().enumerate() {
        let revision = i as u64 + 2;
        let distinct: BTreeMap<u8, Option<u8>> = keys.iter().copied().collect();
        let of_one = distinct.into_iter().map(|(key, size)| match size {
            Some(size) => put(&format!("k{key}"), vec![key; size.into()], revision),
            None => deletion(&format!("k{key}"), revision),
        });
        changes.push(of_one.collect());
    }
    changes
}

/// Applies changes as a reader does: a later one replaces an earlier one.
fn apply(contents: &mut BTreeMap<String, Option<String>>, changes: &[Change]) {
    for change in changes {
        let value = change.value.as_deref().map(str::to_owned);
        contents.insert(change.key.to_string(), value);
    }
}

/// Reads pages after a revision to the end; `None` if some changes were dropped.
fn read_from(
    history: &mut ChangeHistory,
    after: u64,
    page_bytes: usize,
) -> Option<BTreeMap<String, Option<String>>> {
    let mut contents = BTreeMap::new();
    let mut revision = after;
    loop {
        let page = history.page_after(StoreRevision(revision), page_bytes, ChangeForm::Whole)?;
        if page.changes.is_empty() {
            return Some(contents);
        }
        assert!(page.revision > revision, "each page makes progress");
        apply(&mut contents, &page.changes);
        revision = page.revision;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against CONFIG by a lost change: pages and superseded changes lead to other
    /// contents than all changes in order.
    #[test]
    fn pages_of_any_size_lead_to_the_contents_of_all_changes(
        transactions in prop::collection::vec(
            prop::collection::vec((0_u8..6, prop::option::of(any::<u8>())), 1..4), 1..40),
        after in 1_u64..40,
        page_bytes in 1_usize..4_096,
    ) {
        let changes = changes_of(&transactions);
        let last = changes.len() as u64 + 1;
        let after = after.min(last);
        let mut small = history(UNLIMITED);
        let mut expected = BTreeMap::new();
        for (i, of_one) in changes.iter().enumerate() {
            let revision = i as u64 + 2;
            small.append(&batch(of_one.clone(), revision));
            if revision > after {
                let mut alone = history(UNLIMITED);
                alone.append(&batch(of_one.clone(), revision));
                let page = alone.page_after(StoreRevision(1), UNLIMITED, ChangeForm::Whole);
                apply(&mut expected, &page.expect("nothing was dropped").changes);
            }
        }

        let contents = read_from(&mut small, after, page_bytes);

        prop_assert_eq!(contents, Some(expected));
    }

    /// Guards against LOST by memory: changes bounded by their number, whatever their size.
    #[test]
    fn a_history_never_holds_more_bytes_than_allowed(
        transactions in prop::collection::vec(
            prop::collection::vec((any::<u8>(), prop::option::of(any::<u8>())), 1..4), 1..60),
        max_bytes in 0_usize..4_096,
    ) {
        let mut bounded = history(max_bytes);

        for (i, of_one) in changes_of(&transactions).into_iter().enumerate() {
            bounded.append(&batch(of_one, i as u64 + 2));

            prop_assert!(bounded.held_bytes() <= max_bytes);
        }
    }
}

/// Guards against LOST by memory: versions of one key that nobody needs any more.
#[test]
fn a_change_supersedes_the_earlier_one_of_its_key() {
    let mut history = history(UNLIMITED);

    for revision in 2..1_000 {
        history.append(&batch(
            vec![put("config", vec![0; 900], revision)],
            revision,
        ));
    }

    let page = history.page_after(StoreRevision(1), UNLIMITED, ChangeForm::Whole);
    let page = page.expect("nothing was dropped");
    assert_eq!(page.changes.len(), 1);
    assert_eq!(page.revision, 999);
    assert_eq!(history.held_bytes(), page.changes[0].size());
}

/// Guards against CONFIG by a gap: a reader that is behind the dropped changes gets none.
#[test]
fn who_is_behind_the_dropped_changes_gets_none() {
    let mut history = history(3_000);

    for revision in 2..6 {
        let key = format!("k{revision}");
        history.append(&batch(vec![put(&key, vec![0; 900], revision)], revision));
    }

    assert_eq!(
        history.page_after(StoreRevision(1), UNLIMITED, ChangeForm::Whole),
        None
    );
    assert_eq!(
        history.page_after(StoreRevision(2), UNLIMITED, ChangeForm::Whole),
        None
    );
    let page = history.page_after(StoreRevision(3), UNLIMITED, ChangeForm::Whole);
    assert_eq!(page.map(|p| p.changes.len()), Some(2));
}

/// Guards against CONFIG by half a transaction: changes of one revision in two pages.
#[test]
fn changes_of_one_revision_stay_together() {
    let mut history = history(UNLIMITED);
    let both = vec![put("a", vec![0; 900], 2), put("b", vec![0; 900], 2)];
    history.append(&batch(both, 2));
    history.append(&batch(vec![put("c", vec![0; 900], 3)], 3));

    let page = history.page_after(StoreRevision(1), 1, ChangeForm::Whole);

    let page = page.expect("nothing was dropped");
    let keys: Vec<&str> = page.changes.iter().map(|c| &*c.key).collect();
    assert_eq!(keys, ["a", "b"]);
    assert_eq!(page.revision, 2);
}

/// Guards against CONFIG by a gap: changes that arrive before a new snapshot is read.
#[test]
fn a_stopped_history_takes_and_returns_nothing() {
    let mut history = history(UNLIMITED);

    history.stop();
    history.append(&batch(vec![put("a", vec![0; 9], 7)], 7));

    assert_eq!(
        history.page_after(StoreRevision(6), UNLIMITED, ChangeForm::Whole),
        None
    );
    assert_eq!(history.held_bytes(), 0);
}

/// Guards against a process that ends, or sends all that it holds, for an odd revision.
#[test]
fn nothing_follows_the_highest_revision() {
    let mut history = history(UNLIMITED);
    history.append(&batch(vec![put("a", vec![0; 9], 2)], 2));

    let page = history.page_after(StoreRevision(u64::MAX), UNLIMITED, ChangeForm::Whole);

    let page = page.expect("nothing was dropped");
    assert_eq!(page.changes, []);
    assert_eq!(page.revision, u64::MAX);
}
