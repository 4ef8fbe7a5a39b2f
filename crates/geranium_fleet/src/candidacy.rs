//! When an entry host may stand for the vacant role of the manager.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// Delay per rank, so that entry hosts do not all stand at the same time.
const RANK_DELAY: Duration = Duration::from_millis(30);
/// Longest delay of a rank. Those with smaller ranks may all be gone.
const MAX_RANK_DELAY: Duration = Duration::from_millis(900);
/// Delay after an attempt that did not lead to the role, beside that of the rank.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The turn of one entry host to stand for the role of the manager, by its rank.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use geranium_core::time::Timestamp;
/// use geranium_fleet::candidacy::Candidacy;
///
/// let now = Timestamp::from_millis(1_000);
/// let mut candidacy = Candidacy::default();
/// candidacy.observe(true, 2, now);
/// assert_eq!(candidacy.turn(), Some(now + Duration::from_millis(60)));
/// assert!(!candidacy.is_due(now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidacy {
    /// Time from which this entry host stands, while the role is vacant.
    turn: Option<Timestamp>,
}

impl Candidacy {
    /// Records whether the role is vacant, as known to an entry host with so many others before
    /// it.
    pub fn observe(&mut self, is_vacant: bool, rank: u32, now: Timestamp) {
        if !is_vacant {
            self.turn = None;
            return;
        }
        self.turn.get_or_insert(now + rank_delay(rank));
    }

    /// Records an attempt, after which the role may still be vacant.
    pub fn record_attempt(&mut self, is_vacant: bool, rank: u32, now: Timestamp) {
        let next = now + RETRY_DELAY + rank_delay(rank);
        self.turn = is_vacant.then_some(next);
    }

    /// Returns the time from which this entry host stands, if the role is vacant.
    #[must_use]
    pub const fn turn(&self) -> Option<Timestamp> {
        self.turn
    }

    /// Returns whether it is this entry host's turn.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.turn.is_some_and(|turn| turn <= now)
    }
}

fn rank_delay(rank: u32) -> Duration {
    RANK_DELAY.saturating_mul(rank).min(MAX_RANK_DELAY)
}
