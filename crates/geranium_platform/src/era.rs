//! Detection of a service that has returned from an older copy of its data.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use crate::StoreError;

/// Largest plausible rise of the era at once. After a larger one, if it was wrong, every
/// true answer would look outdated.
const MAX_RISE: u64 = 1_000;
/// Answers in a row with an era that is older or rises too much, after which it is taken to be
/// the present one. Fewer may have been overtaken on their way or be wrong.
const MAX_IMPLAUSIBLE_ANSWERS: u32 = 32;

/// Number that rises each time that the service returns from an older copy of its data.
///
/// Revisions and leases of one era mean nothing in another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Parses the era that an answer states; `None` if it is not a whole number.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        text.trim().parse().ok().map(Self)
    }
}

/// Notices from the answers of the service that it has returned from an older copy.
///
/// Clones share what they have seen.
///
/// # Examples
///
/// ```
/// use geranium_platform::{EraTracker, StoreEra, StoreError};
///
/// let tracker = EraTracker::default();
/// let sent = tracker.current();
/// assert_eq!(tracker.observe(sent, Some(StoreEra(4))), Ok(()));
/// let sent = tracker.current();
/// let seen = tracker.observe(sent, Some(StoreEra(5)));
/// assert_eq!(seen, Err(StoreError::Restored(4, 5)));
/// ```
#[derive(Clone, Debug)]
pub struct EraTracker {
    current: Arc<watch::Sender<Option<StoreEra>>>,
    implausible_answers: Arc<Mutex<u32>>,
}

impl Default for EraTracker {
    fn default() -> Self {
        Self {
            current: Arc::new(watch::Sender::new(None)),
            implausible_answers: Arc::default(),
        }
    }
}

impl EraTracker {
    /// Returns the newest era seen, if any answer has stated one.
    #[must_use]
    pub fn current(&self) -> Option<StoreEra> {
        *self.current.borrow()
    }

    /// Returns a receiver of the newest era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<StoreEra>> {
        self.current.subscribe()
    }

    /// Records the era of an answer, if it states one, to a call that was sent in the era
    /// `sent`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Restored`] if the service has returned from an older copy since
    /// the call was sent, and [`StoreError::Outdated`] if the answer is from before that.
    pub fn observe(
        &self,
        sent: Option<StoreEra>,
        seen: Option<StoreEra>,
    ) -> Result<(), StoreError> {
        let Some(seen) = seen else {
            return Ok(());
        };
        let mut implausible = self
            .implausible_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = self.current().unwrap_or(seen);
        if seen < current || seen.0.saturating_sub(current.0) > MAX_RISE {
            *implausible += 1;
            if *implausible < MAX_IMPLAUSIBLE_ANSWERS {
                return Err(StoreError::Outdated(seen.0, current.0));
            }
        }
        *implausible = 0;
        self.current
            .send_if_modified(|era| era.replace(seen) != Some(seen));
        match sent {
            Some(sent) if sent != seen => Err(StoreError::Restored(sent.0, seen.0)),
            _ => Ok(()),
        }
    }
}
