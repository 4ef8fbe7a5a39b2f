//! Large values reach every entry host by patches, and arrive as they were written.

use std::collections::BTreeMap;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_entry::change::Change;
use geranium_entry::change_form::ChangeForm;
use geranium_entry::change_history::{ChangeHistory, ReceivedPatches};
use geranium_entry::large_value::LARGE_VALUE_BYTES;
use geranium_entry::value_patch::{PatchError, ValuePatch};
use geranium_platform::{StoredValue, WatchBatch, WatchChange};
use proptest::prelude::*;

/// Size limit that no history of these tests reaches.
const UNLIMITED: usize = usize::MAX;
/// Number of lines of a large value.
const LINES: u64 = 1_500;

/// Returns a large value; those of neighbouring seeds differ in one line.
fn large_value(seed: u64) -> Vec<u8> {
    let line = |n: u64| {
        let changed = if n == seed { seed } else { 0 };
        format!(
            "route {:x} leads to {changed}\n",
            n.wrapping_mul(0x9e37_79b9)
        )
    };
    let value: String = (0..LINES).map(line).collect();
    assert!(value.len() > LARGE_VALUE_BYTES);
    value.into_bytes()
}

fn put(key: &str, value: Vec<u8>, revision: u64) -> WatchChange {
    WatchChange::Put(StoredValue {
        key: key.to_owned(),
        value: value.into(),
        revision: StoreRevision(revision),
    })
}

fn batch(change: WatchChange) -> WatchBatch {
    WatchBatch {
        revision: change.revision(),
        changes: vec![change],
    }
}

/// An entry host: its view of the store, and the changes that it passes on.
struct Reader {
    history: ChangeHistory,
    contents: BTreeMap<String, Bytes>,
    revision: u64,
}

impl Reader {
    /// Creates a reader with a snapshot of the store that may hold later values than those of its
    /// revision, as its pages are read one after the other.
    fn start(contents: &BTreeMap<String, StoredValue>, revision: u64, max_bytes: usize) -> Self {
        let mut history = ChangeHistory::new(max_bytes);
        history.start(StoreRevision(revision));
        contents.values().for_each(|v| history.hold(v));
        let contents = contents.iter();
        Self {
            history,
            contents: contents
                .map(|(k, v)| (k.clone(), v.value.clone()))
                .collect(),
            revision,
        }
    }

    /// Applies a change that comes from the store.
    fn take(&mut self, change: &WatchChange) {
        let batch = batch(change.clone());
        self.history.append(&batch);
        self.apply(&batch);
    }

    fn apply(&mut self, batch: &WatchBatch) {
        for change in batch.changes.iter().cloned() {
            match change {
                WatchChange::Put(v) => self.contents.insert(v.key, v.value),
                WatchChange::Deleted { key, .. } => self.contents.remove(&key),
            };
        }
        self.revision = self.revision.max(batch.revision.0);
    }

    /// Reads all pages of another reader; asks for compressed values where patches do not fit.
    /// Returns `None` if the other one has dropped some.
    fn follow(&mut self, source: &mut Self, page_bytes: usize) -> Option<()> {
        let mut form = ChangeForm::Patched;
        loop {
            let after = StoreRevision(self.revision);
            let page = source.history.page_after(after, page_bytes, form)?;
            if page.changes.is_empty() {
                return Some(());
            }
            match self.resolve(&page.changes) {
                Ok((changes, received)) => {
                    let batch = WatchBatch {
                        changes,
                        revision: StoreRevision(page.revision),
                    };
                    self.history.append_received(&batch, &received);
                    self.apply(&batch);
                    form = ChangeForm::Patched;
                }
                Err(_) => form = ChangeForm::Compressed,
            }
        }
    }

    fn resolve(
        &self,
        changes: &[Change],
    ) -> Result<(Vec<WatchChange>, ReceivedPatches), PatchError> {
        let mut received = ReceivedPatches::default();
        let mut resolved = Vec::new();
        for change in changes {
            let revision = StoreRevision(change.revision);
            let key = change.key.to_string();
            resolved.push(match self.history.resolve(change)? {
                Some(value) => WatchChange::Put(StoredValue {
                    key,
                    value,
                    revision,
                }),
                None => WatchChange::Deleted { key, revision },
            });
            received.insert(change.key.clone(), change.patches.clone());
        }
        Ok((resolved, received))
    }
}

#[derive(Clone, Debug)]
enum Step {
    PutLarge(u8, u64),
    PutSmall(u8),
    Delete(u8),
    LeaderFollows,
    FollowerFollows,
    /// The leader starts anew, with the first page of its snapshot so many revisions ago.
    LeaderRestarts(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u8..2, 0..LINES).prop_map(|(key, seed)| Step::PutLarge(key, seed)),
        1 => (0_u8..2).prop_map(Step::PutSmall),
        1 => (0_u8..2).prop_map(Step::Delete),
        2 => Just(Step::LeaderFollows),
        2 => Just(Step::FollowerFollows),
        1 => (0_u64..4).prop_map(Step::LeaderRestarts),
    ];
    prop::collection::vec(step, 1..24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against CONFIG by a wrong patch: a reader behind two others holds other contents
    /// than the store.
    #[test]
    fn patches_lead_to_the_contents_of_the_store(
        steps in steps(),
        page_bytes in 1_usize..200_000,
        max_bytes in prop_oneof![Just(UNLIMITED), 20_000_usize..200_000],
    ) {
        let mut store: BTreeMap<String, StoredValue> = BTreeMap::new();
        let mut revision = 1;
        let mut manager = Reader::start(&store, revision, max_bytes);
        let mut leader = Reader::start(&store, revision, max_bytes);
        let mut follower = Reader::start(&store, revision, max_bytes);

        for step in steps.into_iter().chain([Step::LeaderFollows, Step::FollowerFollows]) {
            revision += 1;
            let change = match step {
                Step::PutLarge(key, seed) => put(&format!("k{key}"), large_value(seed), revision),
                Step::PutSmall(key) => put(&format!("k{key}"), vec![key], revision),
                Step::Delete(key) => WatchChange::Deleted {
                    key: format!("k{key}"),
                    revision: StoreRevision(revision),
                },
                Step::LeaderFollows => {
                    if leader.follow(&mut manager, page_bytes).is_none() {
                        leader = Reader::start(&store, revision, max_bytes);
                    }
                    continue;
                }
                Step::FollowerFollows => {
                    if follower.follow(&mut leader, page_bytes).is_none() {
                        follower = Reader::start(&store, revision, max_bytes);
                    }
                    continue;
                }
                Step::LeaderRestarts(lag) => {
                    let first_page = revision.saturating_sub(lag).max(1);
                    leader = Reader::start(&store, first_page, max_bytes);
                    continue;
                }
            };
            match &change {
                WatchChange::Put(v) => store.insert(v.key.clone(), v.clone()),
                WatchChange::Deleted { key, .. } => store.remove(key),
            };
            manager.take(&change);
        }

        let expected: BTreeMap<String, Bytes> =
            store.into_iter().map(|(k, v)| (k, v.value)).collect();
        prop_assert_eq!(&manager.contents, &expected);
        prop_assert_eq!(&leader.contents, &expected);
        prop_assert_eq!(&follower.contents, &expected);
    }
}

/// Guards against CONFIG: a change of one line goes out as the whole value.
#[test]
fn a_change_of_one_line_is_passed_on_in_few_bytes() {
    let mut history = ChangeHistory::new(UNLIMITED);
    history.start(StoreRevision(1));
    history.append(&batch(put("config", large_value(1), 2)));
    history.append(&batch(put("config", large_value(2), 3)));

    let page = history.page_after(StoreRevision(2), UNLIMITED, ChangeForm::Patched);

    let page = page.expect("nothing was dropped");
    assert!(page.changes[0].size() < 1_024, "{}", page.changes[0].size());
}

/// Guards against CONFIG: patches of many versions that grow beyond the value itself.
#[test]
fn whoever_is_far_behind_gets_the_whole_value_compressed() {
    let mut history = ChangeHistory::new(UNLIMITED);
    history.start(StoreRevision(1));
    for version in 2..400 {
        history.append(&batch(put("config", large_value(version), version)));
    }

    let page = history.page_after(StoreRevision(2), UNLIMITED, ChangeForm::Patched);

    let page = page.expect("nothing was dropped");
    let patches = &page.changes[0].patches;
    assert_eq!(patches.len(), 1);
    assert_eq!(patches[0].from, 0);
    assert!(patches[0].size() < large_value(1).len() / 2);
    assert!(history.held_bytes() < 2 * large_value(1).len());
}

/// Guards against CONFIG by a wrong patch: one for a value that only has the same revision, as after
/// a return of the store from an older copy.
#[test]
fn a_patch_for_another_value_is_refused() {
    let patch = ValuePatch::between((2, &large_value(2)), (3, &large_value(3)));
    let patch = patch.expect("the value is compressed");

    let result = patch.apply(&large_value(7));

    assert!(matches!(result, Err(PatchError::Corrupt(_))), "{result:?}");
}

/// Guards against an earlier build that takes a change without a value for a deletion.
#[test]
fn a_reader_that_does_not_ask_for_patches_gets_whole_values() {
    let mut history = ChangeHistory::new(UNLIMITED);
    history.start(StoreRevision(1));
    history.append(&batch(put("config", large_value(1), 2)));
    history.append(&batch(put("config", large_value(2), 3)));

    let page = history.page_after(StoreRevision(2), UNLIMITED, ChangeForm::Whole);

    let page = page.expect("nothing was dropped");
    assert!(page.changes[0].value.is_some());
    assert_eq!(page.changes[0].patches, []);
}

/// Guards against CONFIG by a gap: a large value of a snapshot whose pages were read at different
/// revisions goes out under a revision after the page, so that readers skip what comes between.
#[test]
fn no_change_of_a_page_is_later_than_the_page() {
    let mut history = ChangeHistory::new(UNLIMITED);
    history.start(StoreRevision(100));
    history.hold(&StoredValue {
        key: "config".to_owned(),
        value: large_value(5).into(),
        revision: StoreRevision(105),
    });
    history.append(&batch(put("config", large_value(3), 103)));

    for form in [
        ChangeForm::Whole,
        ChangeForm::Patched,
        ChangeForm::Compressed,
    ] {
        let page = history.page_after(StoreRevision(100), UNLIMITED, form);

        let page = page.expect("nothing was dropped");
        assert_eq!(page.revision, 103);
        assert_eq!(page.changes[0].revision, 103, "{form:?}");
    }
}
