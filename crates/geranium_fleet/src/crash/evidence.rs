//! What is known of one subject.

use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;

use super::{CrashCount, CrashId, CrashSubject};

/// Crashes kept per subject; enough to decide, as a refused subject hardly gets more.
const MAX_CRASHES: usize = 64;

/// The count of a subject, with the crashes that it consists of.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    /// The count, including answers that only this entry host knows of.
    pub(super) count: CrashCount,
    /// Disproved crashes that all entry hosts know of.
    pub(super) disproved_for_all: u32,
    /// Subjects that all crashed requests with this one had, itself included.
    pub(super) in_common: Vec<CrashSubject>,
    /// Incarnations that ended, each with the number of this crash in the count.
    crashes: HashSet<(u32, CrashId)>,
    /// Time of the last change.
    pub(super) changed_at: Timestamp,
}

impl Evidence {
    pub(super) fn new(subject: CrashSubject, now: Timestamp) -> Self {
        Self {
            count: CrashCount::new(subject),
            disproved_for_all: 0,
            in_common: Vec::new(),
            crashes: HashSet::default(),
            changed_at: now,
        }
    }

    /// Adds a crash under a request with the subject and the count that it results in;
    /// returns whether the count was raised.
    pub(super) fn add_crash(
        &mut self,
        crash: &CrashId,
        count: &CrashCount,
        request: &[CrashCount],
        now: Timestamp,
    ) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.insert((count.crashes, crash.clone()));
        }
        if self.in_common.is_empty() {
            self.in_common = request.iter().map(|c| c.subject).collect();
        }
        self.in_common
            .retain(|s| request.iter().any(|c| c.subject == *s));
        self.disproved_for_all = self.disproved_for_all.max(count.disproved);
        let raised = count.crashes > self.count.crashes;
        if self.count.merge(count) {
            self.changed_at = now;
        }
        raised
    }

    /// Counts the crashes that no answer has disproved and that nothing else explains. Those
    /// with the same number count once, and one of them that is not explained suffices.
    pub(super) fn count_unexplained(&self, is_explained: impl Fn(&CrashId) -> bool) -> usize {
        let open = self
            .crashes
            .iter()
            .filter(|(n, _)| *n > self.count.disproved);
        let unexplained = open.filter(|(_, crash)| !is_explained(crash));
        let numbers: HashSet<u32> = unexplained.map(|(n, _)| *n).collect();
        numbers.len()
    }

    /// Returns whether the other entry hosts suspect the subject and this one knows better.
    pub(super) const fn is_worth_telling(&self) -> bool {
        self.count.disproved > self.disproved_for_all
            && self.count.crashes.saturating_sub(self.disproved_for_all) > 1
    }
}
