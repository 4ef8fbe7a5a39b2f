//! Report requests that an engine did not answer in time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Times at which one engine did not answer a report request.
#[derive(Clone, Debug, Default)]
pub(super) struct MissedReports {
    at: VecDeque<Timestamp>,
}

impl MissedReports {
    /// Adds a missed report and drops those older than the window.
    pub(super) fn add(&mut self, now: Timestamp, window: Duration) {
        self.at.push_back(now);
        while self.at.front().is_some_and(|&at| now.since(at) > window) {
            self.at.pop_front();
        }
    }

    /// Returns the number of missed reports within the window.
    pub(super) fn within(&self, now: Timestamp, window: Duration) -> usize {
        let recent = self.at.iter().filter(|&&at| now.since(at) <= window);
        recent.count()
    }
}
