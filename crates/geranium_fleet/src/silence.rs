//! Detection of groups that stopped answering while work waits there.

use std::time::Duration;

use geranium_core::time::Timestamp;

use crate::engine_profile::EngineProfile;

/// Number of passes without any event after which requests in the middle of their answer
/// indicate a stopped group.
const MAX_SILENT_PASSES: f64 = 2.0;
/// Minimum silence that counts, so that network delays do not.
const MIN_SILENCE_MS: f64 = 350.0;
/// Number of passes that a request may wait until its prefill starts.
const MAX_WAITING_PASSES: f64 = 3.0;
/// Safety factor on the predicted wait for a slot, as the known load of the group is older
/// than the request.
const QUEUE_WAIT_FACTOR: u32 = 2;
/// Safety factor on the prefill time.
const PREFILL_FACTOR: f64 = 2.0;

/// An event within this time contradicts another entry host's report that the group
/// stopped; shorter than the time that the other entry host takes to check the group.
const RECENT_ACTIVITY: Duration = Duration::from_millis(500);

/// Silence after which a group is considered stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceThresholds {
    /// Threshold while one of our requests is in the middle of its answer.
    pub writing: Duration,
    /// Threshold while all our requests wait for their first event, without the prefill
    /// time.
    pub waiting: Duration,
}

/// Work of one entry host at a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupActivity {
    /// Number of requests in the middle of their answer.
    pub writing: usize,
    /// Number of requests that wait for their first event.
    pub waiting: usize,
    /// Prompt tokens of the requests that wait.
    pub waiting_tokens: f64,
    /// Time of the last event or answer of any kind.
    pub last_heard: Timestamp,
    /// When the oldest request that is still running was sent.
    pub oldest_sent: Timestamp,
}

impl GroupActivity {
    /// Returns whether the group sent something so recently that it cannot have stopped
    /// when another entry host began to check it; that entry host may itself be cut off
    /// from the group.
    #[must_use]
    pub fn contradicts_stop(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) < RECENT_ACTIVITY
    }
}

impl SilenceThresholds {
    /// Computes the thresholds from the engine's profile and a model's time factor.
    #[must_use]
    pub fn new(profile: &EngineProfile, time_factor: f64) -> Self {
        let pass = profile.max_pass_ms() * time_factor;
        let writing = (pass * MAX_SILENT_PASSES).max(MIN_SILENCE_MS);
        let waiting = (pass * MAX_WAITING_PASSES).max(2.0 * MIN_SILENCE_MS);
        Self {
            writing: millis(writing),
            waiting: millis(waiting),
        }
    }

    /// Adds the predicted wait of requests that find no slot. A group that runs as many requests
    /// as it can leaves others without an event for longer, and moving them elsewhere would
    /// only add to the load.
    #[must_use]
    pub fn with_queue_wait(self, wait: Duration) -> Self {
        Self {
            waiting: self.waiting + wait * QUEUE_WAIT_FACTOR,
            ..self
        }
    }

    /// Returns whether a group has been silent for too long.
    #[must_use]
    pub fn is_silent(
        &self,
        activity: &GroupActivity,
        prefill_tokens_per_s: f64,
        now: Timestamp,
    ) -> bool {
        let silent_since = activity.last_heard.max(activity.oldest_sent);
        let silence = now.since(silent_since);
        if activity.writing > 0 {
            return silence > self.writing;
        }
        if activity.waiting == 0 {
            return false;
        }
        let prefill = activity.waiting_tokens / prefill_tokens_per_s * 1_000.0 * PREFILL_FACTOR;
        silence > self.waiting + millis(prefill)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms * 1_000.0) as u64)
}
