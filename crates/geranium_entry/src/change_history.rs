//! Recent store changes, bounded by the bytes that they hold.

use std::collections::BTreeMap;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use geranium_core::collections::HashMap;
use geranium_core::id::StoreRevision;
use geranium_platform::{WatchBatch, WatchChange};
use serde::{Deserialize, Serialize};

/// Estimated memory of a change beside its key and value, in bytes. It bounds the number of
/// small changes.
const CHANGE_OVERHEAD: usize = 256;

/// A store change as entry hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the change.
    pub revision: u64,
    /// The new value in Base64, or `None` for a deletion.
    pub value: Option<Arc<str>>,
}

impl Change {
    fn encode(change: &WatchChange) -> Self {
        match change {
            WatchChange::Put(v) => Self {
                key: v.key.as_str().into(),
                revision: v.revision.0,
                value: Some(STANDARD.encode(&v.value).into()),
            },
            WatchChange::Deleted { key, revision } => Self {
                key: key.as_str().into(),
                revision: revision.0,
                value: None,
            },
        }
    }

    /// Returns the estimated memory of the change, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |v| v.len());
        CHANGE_OVERHEAD + self.key.len() + value
    }
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
/// let page = history.page_after(StoreRevision(7), 4_096).expect("nothing was dropped");
/// let keys: Vec<&str> = page.changes.iter().map(|c| &*c.key).collect();
/// assert_eq!(keys, ["b", "a"]);
/// assert!(history.page_after(StoreRevision(6), 4_096).is_none());
/// ```
#[derive(Debug, Default)]
pub struct ChangeHistory {
    max_bytes: usize,
    held_bytes: usize,
    /// The last change of every key that changed after this revision is held; `None` until the
    /// history is started.
    base_revision: Option<u64>,
    last_revision: u64,
    /// Changes by revision and key, as one revision may change several keys.
    changes: BTreeMap<(u64, Arc<str>), Change>,
    /// Revision of the change that is held of a key.
    revisions: HashMap<Arc<str>, u64>,
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

    /// Appends the changes of a batch that are newer than those that are held.
    pub fn append(&mut self, batch: &WatchBatch) {
        if self.base_revision.is_none() {
            return;
        }
        let known = self.last_revision;
        for change in batch.changes.iter().map(Change::encode) {
            if change.revision > known {
                self.last_revision = self.last_revision.max(change.revision);
                self.insert(change);
            }
        }
        self.last_revision = self.last_revision.max(batch.revision.0);
        while self.held_bytes > self.max_bytes {
            self.drop_oldest();
        }
    }

    /// Returns the next changes after a revision, all of them or as many as hold `max_bytes`;
    /// `None` if some were already dropped, or if the history is not started.
    ///
    /// Changes of one revision are never separated, and a page has those of one revision at
    /// least.
    #[must_use]
    pub fn page_after(&self, revision: StoreRevision, max_bytes: usize) -> Option<ChangePage> {
        self.base_revision.filter(|base| *base <= revision.0)?;
        let mut page = ChangePage {
            changes: Vec::new(),
            revision: self.last_revision.max(revision.0),
        };
        let mut bytes = 0;
        let newer = (revision.0.saturating_add(1), Arc::from(""));
        for ((at, _), change) in self.changes.range(newer..) {
            bytes += change.size();
            let last = page.changes.last().map(|c| c.revision);
            if let Some(last) = last.filter(|last| bytes > max_bytes && last != at) {
                page.revision = last;
                break;
            }
            page.changes.push(change.clone());
        }
        Some(page)
    }

    /// Returns the revision up to which changes were appended.
    #[must_use]
    pub const fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Returns the estimated memory of all changes, in bytes.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    fn insert(&mut self, change: Change) {
        let superseded = self.revisions.insert(change.key.clone(), change.revision);
        if let Some(revision) = superseded
            && let Some(old) = self.changes.remove(&(revision, change.key.clone()))
        {
            self.held_bytes -= old.size();
        }
        self.held_bytes += change.size();
        let at = (change.revision, change.key.clone());
        self.changes.insert(at, change);
    }

    fn drop_oldest(&mut self) {
        let Some(((revision, key), change)) = self.changes.pop_first() else {
            return;
        };
        self.held_bytes -= change.size();
        self.revisions.remove(&key);
        self.base_revision = Some(revision);
    }
}
