//! Recent store changes, bounded by the bytes that they hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use geranium_core::collections::HashMap;
use geranium_core::id::StoreRevision;
use geranium_platform::{StoredValue, WatchBatch, WatchChange};

use crate::change::{CHANGE_OVERHEAD, Change};
use crate::change_form::ChangeForm;
use crate::large_value::{LARGE_VALUE_BYTES, LargeValue, apply_patches};
use crate::value_patch::{PatchError, ValuePatch};

/// Patches by which large values came to this entry host, by key.
pub type ReceivedPatches = HashMap<Arc<str>, Vec<ValuePatch>>;

/// A change as it is held.
#[derive(Debug)]
enum HeldChange {
    Small(Change),
    /// A large value, which is held by its key.
    Large,
}

/// Some of the changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The changes in ascending order of their revisions.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: u64,
}

/// The last change of each key after a base revision.
///
/// A change supersedes the earlier one of its key: who applies the page after a revision, and
/// then those that follow, arrives at the present contents of the store, though not by way of
/// each version in between. The oldest changes are dropped once all hold more bytes than
/// allowed, so that memory depends neither on their number nor on the size of a value.
///
/// # Examples
///
/// ```
/// use geranium_core::id::StoreRevision;
/// use geranium_entry::change_form::ChangeForm;
/// use geranium_entry::change_history::ChangeHistory;
/// use geranium_platform::{WatchBatch, WatchChange};
///
/// let deletion = |key: &str, revision| WatchChange::Deleted {
///     key: key.to_owned(),
///     revision: StoreRevision(revision),
/// };
/// let mut history = ChangeHistory::new(4_096);
/// history.start(StoreRevision(7));
/// history.append(&WatchBatch {
///     changes: vec![deletion("a", 8), deletion("b", 9), deletion("a", 10)],
///     revision: StoreRevision(10),
/// });
/// let page = history.page_after(StoreRevision(7), 4_096, ChangeForm::Whole);
/// let page = page.expect("nothing was dropped");
/// let keys: Vec<&str> = page.changes.iter().map(|c| &*c.key).collect();
/// assert_eq!(keys, ["b", "a"]);
/// assert!(history.page_after(StoreRevision(6), 4_096, ChangeForm::Whole).is_none());
/// ```
#[derive(Debug, Default)]
pub struct ChangeHistory {
    max_bytes: usize,
    /// Memory of all changes but large values, in bytes.
    small_bytes: usize,
    /// The last change of every key that changed after this revision is held; `None` until the
    /// history is started.
    base_revision: Option<u64>,
    last_revision: u64,
    /// Changes by revision and key, as one revision may change several keys.
    changes: BTreeMap<(u64, Arc<str>), HeldChange>,
    /// Revision of the change that is held of a key.
    revisions: HashMap<Arc<str>, u64>,
    /// The last value of each key whose value is large, also if it is from before the history.
    large_values: HashMap<Arc<str>, LargeValue>,
}

impl ChangeHistory {
    /// Creates a history that holds at most `max_bytes` once it is started.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ..Self::default()
        }
    }

    /// Discards all changes; none are taken or returned until the next start.
    pub fn stop(&mut self) {
        *self = Self::new(self.max_bytes);
    }

    /// Discards all changes and starts anew from a revision.
    pub fn start(&mut self, revision: StoreRevision) {
        self.stop();
        self.base_revision = Some(revision.0);
        self.last_revision = revision.0;
    }

    /// Holds a large value from before the history, so that patches can start from it. Others
    /// are ignored.
    pub fn hold(&mut self, value: &StoredValue) {
        if value.value.len() < LARGE_VALUE_BYTES {
            return;
        }
        let held = LargeValue::new(value.revision.0, value.value.clone());
        self.large_values.insert(value.key.as_str().into(), held);
        self.enforce_limit();
    }

    /// Appends the changes of a batch that are newer than those that are held.
    pub fn append(&mut self, batch: &WatchBatch) {
        self.append_received(batch, &ReceivedPatches::default());
    }

    /// Appends the changes of a batch that are newer than those that are held. `received` are the
    /// patches by which large values came, to be passed on as they are.
    pub fn append_received(&mut self, batch: &WatchBatch, received: &ReceivedPatches) {
        if self.base_revision.is_none() {
            return;
        }
        let known = self.last_revision;
        for change in &batch.changes {
            let revision = change.revision().0;
            if revision > known {
                self.last_revision = self.last_revision.max(revision);
                self.insert(change, received);
            }
        }
        self.last_revision = self.last_revision.max(batch.revision.0);
        self.enforce_limit();
    }

    /// Returns the next changes after a revision, all of them or as many as hold `max_bytes`;
    /// `None` if some were already dropped, or if the history is not started.
    ///
    /// Changes of one revision are never separated, and a page has those of one revision at
    /// least.
    #[must_use]
    pub fn page_after(
        &mut self,
        revision: StoreRevision,
        max_bytes: usize,
        form: ChangeForm,
    ) -> Option<ChangePage> {
        self.base_revision.filter(|base| *base <= revision.0)?;
        let mut page = ChangePage {
            changes: Vec::new(),
            revision: self.last_revision.max(revision.0),
        };
        let mut bytes = 0;
        let newer = (revision.0.saturating_add(1), Arc::from(""));
        for ((at, key), held) in self.changes.range(newer..) {
            let change = match (held, self.large_values.get_mut(key)) {
                (HeldChange::Small(change), _) => change.clone(),
                (HeldChange::Large, Some(value)) => {
                    large_change(key, *at, value, revision.0, form)?
                }
                (HeldChange::Large, None) => return None,
            };
            bytes += change.size();
            let last = page.changes.last().map(|c| c.revision);
            if let Some(last) = last.filter(|last| bytes > max_bytes && last != at) {
                page.revision = last;
                break;
            }
            page.changes.push(change);
        }
        Some(page)
    }

    /// Returns the revision up to which changes were appended.
    #[must_use]
    pub const fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Returns the value of a change of another entry host, or `None` for a deletion.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed, or if it is given by patches that apply to
    /// another value than the one that is held.
    pub fn resolve(&self, change: &Change) -> Result<Option<Bytes>, PatchError> {
        if change.patches.is_empty() {
            return change.decode_value();
        }
        let held = self.large_values.get(&change.key);
        let held = held.map(|v| (v.revision(), v.value()));
        let result = apply_patches(held, &change.patches)?;
        Ok(result.map(|(_, value)| value))
    }

    /// Returns the estimated memory of all changes, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let large = self.large_values.iter();
        let large = large.map(|(key, value)| CHANGE_OVERHEAD + key.len() + value.size());
        self.small_bytes + large.sum::<usize>()
    }

    fn insert(&mut self, change: &WatchChange, received: &ReceivedPatches) {
        let (key, revision) = (Arc::from(change.key()), change.revision().0);
        self.remove_superseded(&key, revision);
        let held = match change {
            WatchChange::Put(v) if v.value.len() >= LARGE_VALUE_BYTES => {
                self.insert_large(&key, revision, v.value.clone(), received);
                HeldChange::Large
            }
            WatchChange::Put(v) => {
                self.large_values.remove(&key);
                HeldChange::Small(Change::put(key.clone(), revision, &v.value))
            }
            WatchChange::Deleted { .. } => {
                self.large_values.remove(&key);
                HeldChange::Small(Change::deletion(key.clone(), revision))
            }
        };
        self.small_bytes += small_size(&held);
        self.changes.insert((revision, key), held);
    }

    /// Removes the earlier change of a key that changes at a revision.
    fn remove_superseded(&mut self, key: &Arc<str>, revision: u64) {
        let superseded = self.revisions.insert(key.clone(), revision);
        let superseded = superseded.and_then(|at| self.changes.remove(&(at, key.clone())));
        self.small_bytes -= superseded.as_ref().map_or(0, small_size);
    }

    fn insert_large(
        &mut self,
        key: &Arc<str>,
        revision: u64,
        value: Bytes,
        received: &ReceivedPatches,
    ) {
        match self.large_values.get_mut(key) {
            Some(held) => {
                let patches = received.get(key).map_or(&[][..], Vec::as_slice);
                held.replace(revision, value, patches);
            }
            None => {
                let held = LargeValue::new(revision, value);
                self.large_values.insert(key.clone(), held);
            }
        }
    }

    /// Drops the oldest changes while there are more bytes than allowed.
    fn enforce_limit(&mut self) {
        while self.held_bytes() > self.max_bytes {
            let Some(((revision, key), change)) = self.changes.pop_first() else {
                self.large_values.clear();
                return;
            };
            self.small_bytes -= small_size(&change);
            if matches!(change, HeldChange::Large) {
                self.large_values.remove(&key);
            }
            self.revisions.remove(&key);
            self.base_revision = Some(revision);
        }
    }
}

/// Returns the memory of a change beside large values, in bytes.
fn small_size(held: &HeldChange) -> usize {
    match held {
        HeldChange::Small(change) => change.size(),
        HeldChange::Large => 0,
    }
}

/// Returns the change to a large value at a revision, for a reader with the contents of the
/// revision `after`; `None` if the value cannot be compressed. The value may be a later one, if it is
/// from a snapshot whose pages were read at different revisions.
fn large_change(
    key: &Arc<str>,
    revision: u64,
    value: &mut LargeValue,
    after: u64,
    form: ChangeForm,
) -> Option<Change> {
    let patches = match form {
        ChangeForm::Whole => return Some(Change::put(key.clone(), revision, value.value())),
        ChangeForm::Patched => value.patches_after(after),
        ChangeForm::Compressed => value.whole().map(|whole| vec![whole]),
    };
    match patches {
        Ok(patches) => Some(Change::patched(key.clone(), revision, patches)),
        Err(e) => {
            log::warn!(key:% = key.escape_debug(); "failed to compress a value: {e}");
            None
        }
    }
}
