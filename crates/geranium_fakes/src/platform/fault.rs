//! What can be made to fail, and the counts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::http::GateState;

/// Body of `POST /fault`; fields that are left out change nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// What becomes of connections.
    pub connections: Option<GateState>,
    /// Position of the address whose connections are meant; all if left out.
    pub endpoint: Option<usize>,
    /// Refuses each call with status 503 before it has an effect.
    pub unavailable: Option<bool>,
    /// Delay of each call before it has an effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Delay of each answer after the call has had its effect, in milliseconds.
    pub answer_delay_ms: Option<u64>,
    /// Number of the next writes whose answer is lost after they took effect.
    pub lose_answers: Option<u32>,
    /// Probability with which the answer to a write is lost after it took effect.
    pub lose_probability: Option<f64>,
    /// Seed of the choice of answers to lose.
    pub seed: Option<u64>,
    /// Ends every lease now.
    pub expire_leases: bool,
    /// Keeps a copy of the present state.
    pub snapshot: bool,
    /// Goes back to the copy, as after a restore from a backup.
    pub restore: bool,
    /// Forgets the history, so that watches from older revisions fail.
    pub compact: bool,
}

/// Answer of `GET /fault/stats`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Calls received, by kind.
    pub calls: BTreeMap<String, u64>,
    /// Calls refused by the rate limit, by kind.
    pub rate_limited: BTreeMap<String, u64>,
    /// Answers lost after a write took effect.
    pub lost_answers: u64,
    /// Watches that are waiting now.
    pub open_watches: u64,
    /// Leases that exist now.
    pub leases: u64,
    /// Revision of the store.
    pub revision: u64,
}

/// Faults in force.
#[derive(Debug)]
pub(super) struct FaultState {
    pub unavailable: bool,
    pub delay: Duration,
    pub answer_delay: Duration,
    lose_answers: u32,
    lose_probability: f64,
    rng: SmallRng,
}

impl Default for FaultState {
    fn default() -> Self {
        Self {
            unavailable: false,
            delay: Duration::ZERO,
            answer_delay: Duration::ZERO,
            lose_answers: 0,
            lose_probability: 0.0,
            rng: SmallRng::seed_from_u64(0),
        }
    }
}

impl FaultState {
    /// Puts the lasting part of a fault into force.
    pub fn set(&mut self, fault: &PlatformFault) {
        if let Some(unavailable) = fault.unavailable {
            self.unavailable = unavailable;
        }
        if let Some(millis) = fault.delay_ms {
            self.delay = Duration::from_millis(millis);
        }
        if let Some(millis) = fault.answer_delay_ms {
            self.answer_delay = Duration::from_millis(millis);
        }
        if let Some(n) = fault.lose_answers {
            self.lose_answers = n;
        }
        if let Some(probability) = fault.lose_probability {
            self.lose_probability = probability.clamp(0.0, 1.0);
        }
        if let Some(seed) = fault.seed {
            self.rng = SmallRng::seed_from_u64(seed);
        }
    }

    /// Decides whether the answer to a write is lost.
    pub fn loses_answer(&mut self) -> bool {
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return true;
        }
        self.lose_probability > 0.0 && self.rng.random_bool(self.lose_probability)
    }
}
