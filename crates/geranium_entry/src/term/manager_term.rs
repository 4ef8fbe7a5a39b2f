//! One term of the manager role.

use geranium_core::time::Timestamp;

use super::TermRecord;

/// Number of epochs between the first ones of two terms. An earlier version that becomes manager
/// after later ones reaches them by a few refusals.
const EPOCHS_PER_TERM: u64 = 1 << 24;
/// Highest epoch that is taken over from a record. An odd one must not end the supply.
const MAX_RECORDED_EPOCH: u64 = 1 << 51;

/// A time in which one entry host is the manager of the groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ManagerTerm {
    /// When it began.
    pub(crate) began_at: Timestamp,
    /// Epoch from which its joins count.
    pub(crate) first_epoch: u64,
}

impl ManagerTerm {
    /// Returns a term that follows the recorded one.
    ///
    /// Its epochs are above those of the recorded term whatever the clocks show. The present
    /// time puts them above those of a manager without a record: an earlier version, or one whose
    /// record a restored store has lost.
    pub(crate) fn after(last: Option<TermRecord>, now: Timestamp) -> Self {
        let recorded = last.map(|l| l.first_epoch);
        let recorded = recorded.filter(|e| *e <= MAX_RECORDED_EPOCH);
        let after_last = recorded.map_or(0, |e| e + EPOCHS_PER_TERM);
        Self {
            began_at: now,
            first_epoch: now.as_millis().max(after_last),
        }
    }

    /// Returns the record of the term.
    pub(crate) const fn record(self) -> TermRecord {
        TermRecord {
            first_epoch: self.first_epoch,
        }
    }
}
