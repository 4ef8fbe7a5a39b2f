//! What is known of one subject.

use std::cmp::Reverse;

use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;

use super::{CRASHES_TO_REFUSE, CrashCount, CrashId, CrashSubject};

/// Crashes of a subject that was never answered from which on [`CRASHES_IN_SUCCESSION`]
/// suffice.
const MANY_CRASHES: usize = 5;
/// Crashes one after the other of a subject that was at many.
const CRASHES_IN_SUCCESSION: usize = 2;
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
    /// Number of incarnations that ended under requests with the subject, as far as no answer
    /// has disproved these crashes.
    open_crashes: usize,
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
            open_crashes: 0,
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
        self.merge(count, now);
        self.count_open_crashes();
        raised
    }

    /// Returns whether the subject has enough crashes to be refused, unless something else
    /// explains them: one after the other, or many at a time if it was never answered.
    pub(super) const fn is_suspect(&self) -> bool {
        self.count.suspicion() as usize >= self.crashes_needed()
    }

    /// Returns the number of crashes, one after the other, from which on the subject may be
    /// refused. A subject that was at many crashes needs fewer, as they may come too fast to be
    /// told from one event, such as the loss of a rack.
    pub(super) const fn crashes_needed(&self) -> usize {
        if !self.count.answered_before && self.open_crashes >= MANY_CRASHES {
            CRASHES_IN_SUCCESSION
        } else {
            CRASHES_TO_REFUSE
        }
    }

    /// Takes over what another count of the subject knows.
    pub(super) fn merge(&mut self, count: &CrashCount, now: Timestamp) {
        if self.count.merge(count) {
            self.changed_at = now;
            self.count_open_crashes();
        }
    }

    fn count_open_crashes(&mut self) {
        let open: HashSet<&CrashId> = self.crash_ids().collect();
        self.open_crashes = open.len();
    }

    /// Returns whether this subject is the likelier cause of a crash that both may have caused.
    pub(super) fn is_likelier_than(&self, other: &Self) -> bool {
        match (self.count.answered_before, other.count.answered_before) {
            (true, false) => false,
            (false, true) => self.is_suspect(),
            _ => self.rank() < other.rank(),
        }
    }

    /// Returns whether nothing tells which of two subjects is the cause of a crash that both may
    /// have caused.
    pub(super) fn is_as_likely_as(&self, other: &Self) -> bool {
        self.count.answered_before == other.count.answered_before && self.rank() == other.rank()
    }

    /// Returns a key that orders subjects by their likelihood, the likeliest first.
    ///
    /// What crashes backend servers was there at each crash, though its count may lag behind
    /// that of a part of many requests while crashes come fast. A part explains a crash
    /// better than a request, as the request has the part.
    const fn rank(&self) -> (Reverse<usize>, Reverse<u32>, bool) {
        let is_request = matches!(self.count.subject, CrashSubject::Request(_));
        (
            Reverse(self.open_crashes),
            Reverse(self.count.suspicion()),
            is_request,
        )
    }

    /// Returns the crashes that no answer has disproved.
    pub(super) fn crash_ids(&self) -> impl Iterator<Item = &CrashId> {
        self.open().map(|(_, crash)| crash)
    }

    /// Returns these crashes with their numbers in the count.
    fn open(&self) -> impl Iterator<Item = &(u32, CrashId)> {
        let crashes = self.crashes.iter();
        crashes.filter(|(n, _)| *n > self.count.disproved)
    }

    /// Counts the crashes that no answer has disproved and that nothing else explains. Those
    /// with the same number count once, and one of them that is not explained suffices.
    pub(super) fn count_unexplained(&self, is_explained: impl Fn(&CrashId) -> bool) -> usize {
        let unexplained = self.open().filter(|(_, crash)| !is_explained(crash));
        let numbers: HashSet<u32> = unexplained.map(|(n, _)| *n).collect();
        numbers.len()
    }

    /// Returns whether the other entry hosts suspect the subject and this one knows better.
    pub(super) const fn is_worth_telling(&self) -> bool {
        self.count.disproved > self.disproved_for_all
            && self.count.crashes.saturating_sub(self.disproved_for_all) > 1
    }
}
