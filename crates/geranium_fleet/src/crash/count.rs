//! The crashes of one subject.

use serde::{Deserialize, Serialize};

use super::CrashSubject;

/// The successive crashes of a subject, and how many of them an answer has disproved.
///
/// Both numbers only grow, so that counts of different origin are merged by their maximum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCount {
    /// The request or prompt part.
    pub subject: CrashSubject,
    /// Crashes so far, each of a request that was sent after the one before was known.
    pub crashes: u32,
    /// The first so many of them were not caused by the subject, as a request with it that
    /// was sent afterwards has been answered.
    pub disproved: u32,
    /// Whether requests with it were answered some time before; always false for whole
    /// requests.
    pub answered_before: bool,
}

impl CrashCount {
    /// Creates the count of a subject without crashes.
    #[must_use]
    pub const fn new(subject: CrashSubject) -> Self {
        Self {
            subject,
            crashes: 0,
            disproved: 0,
            answered_before: false,
        }
    }

    /// Returns the number of crashes that the subject may have caused.
    #[must_use]
    pub const fn suspicion(&self) -> u32 {
        self.crashes.saturating_sub(self.disproved)
    }

    /// Takes over what another count of the same subject knows; returns whether that was more.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = *self;
        self.crashes = self.crashes.max(other.crashes);
        self.disproved = self.disproved.max(other.disproved);
        self.answered_before |= other.answered_before;
        *self != before
    }
}
