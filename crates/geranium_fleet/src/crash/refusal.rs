//! Times at which a refused subject is tried again.

use std::time::Duration;

use geranium_core::time::Timestamp;

/// A refused subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    /// Time of the last crash, or of the refusal if that was later.
    pub(super) since: Timestamp,
    /// Crashes so far.
    pub(super) crashes: u32,
    /// Time to the first trial.
    pub(super) first_trial_after: Duration,
    /// Time from one trial to the next.
    pub(super) period: Duration,
    /// Whether nothing tells whether this subject or another one is the cause.
    pub(super) is_tied: bool,
    /// Trials since the last crash.
    pub(super) trials: u32,
}

impl Refusal {
    /// Returns the time of the next trial.
    pub(super) fn next_trial_at(&self) -> Timestamp {
        self.since + self.first_trial_after + self.period * self.trials
    }

    /// Returns the number of the trial that is due.
    pub(super) fn trial_number(&self, now: Timestamp) -> u32 {
        let since_first = now.since(self.since + self.first_trial_after);
        let periods = since_first.as_millis() / self.period.as_millis().max(1);
        u32::try_from(periods).unwrap_or(u32::MAX).saturating_add(1)
    }

    /// Starts the trials anew, after a further crash.
    pub(super) const fn restart_trials(&mut self, now: Timestamp) {
        self.since = now;
        self.trials = 0;
    }

    /// Records that a trial was won.
    pub(super) fn record_trial(&mut self, number: u32) {
        self.trials = self.trials.max(number);
    }
}
