//! How far the local view of the store is behind the store itself.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// Time behind the store from which the local view counts as outdated. It is above the age that the
/// waits on the way from the store through the manager and the leaders add up to.
pub const OUTDATED_AFTER: Duration = Duration::from_millis(2_000);

/// A change between an up-to-date and an outdated view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessChange {
    /// The view is now outdated.
    Outdated,
    /// The view is up to date again, after so long.
    Recovered(Duration),
}

/// The last moment for which the local view is known to hold every change of the store.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use geranium_core::time::Timestamp;
/// use geranium_entry::freshness::{Freshness, FreshnessChange};
///
/// let start = Timestamp::from_millis(1_000);
/// let mut freshness = Freshness::new(start);
/// let late = start + Duration::from_secs(3);
/// assert_eq!(freshness.check(late), Some(FreshnessChange::Outdated));
/// assert_eq!(freshness.check(late), None);
/// freshness.record_complete(late);
/// let behind = Duration::from_secs(3);
/// assert_eq!(freshness.check(late), Some(FreshnessChange::Recovered(behind)));
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    complete_at: Timestamp,
    /// Moment for which the view was last complete before it became outdated.
    outdated_since: Option<Timestamp>,
}

impl Freshness {
    /// Creates the freshness of a view that counts as complete at `start`.
    #[must_use]
    pub const fn new(start: Timestamp) -> Self {
        Self {
            complete_at: start,
            outdated_since: None,
        }
    }

    /// Records that the view holds every change that the store had at a moment.
    pub fn record_complete(&mut self, at: Timestamp) {
        self.complete_at = self.complete_at.max(at);
    }

    /// Returns the time since the last moment for which the view is known to be complete.
    #[must_use]
    pub fn behind(&self, now: Timestamp) -> Duration {
        now.since(self.complete_at)
    }

    /// Returns whether the view is outdated.
    #[must_use]
    pub fn is_outdated(&self, now: Timestamp) -> bool {
        self.behind(now) > OUTDATED_AFTER
    }

    /// Returns the change since the last check, if there is one.
    pub fn check(&mut self, now: Timestamp) -> Option<FreshnessChange> {
        if self.is_outdated(now) {
            let is_new = self.outdated_since.is_none();
            self.outdated_since.get_or_insert(self.complete_at);
            return is_new.then_some(FreshnessChange::Outdated);
        }
        let since = self.outdated_since.take()?;
        Some(FreshnessChange::Recovered(self.complete_at.since(since)))
    }
}
