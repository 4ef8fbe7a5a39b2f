//! State of an engine that faults change directly.

use std::time::{Duration, Instant};

use super::EngineFault;

/// Longest pause of an engine.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);
/// Largest factor of a straggler.
const MAX_STRAGGLE_FACTOR: f64 = 1e6;

/// State that faults change directly.
#[derive(Clone, Copy, Debug)]
pub(super) struct Condition {
    /// End of the pause, if there is one.
    pub paused_until: Option<Instant>,
    /// Factor of the time per token.
    pub straggle_factor: f64,
    /// Slowest factor of the other members, as rank 0 sees it.
    pub group_factor: f64,
    /// Whether rank 0 waits for a member that does not answer.
    pub stalled: bool,
    /// Whether the engine reports that it is leaving.
    pub leaving: bool,
    /// Orders left whose answer is lost.
    pub lose_order_answers: u32,
    /// Every how many pieces two are swapped.
    pub swap_every: u64,
    /// Every how many pieces one is sent twice.
    pub repeat_every: u64,
    /// Every how many pieces one is never sent.
    pub lose_every: u64,
    /// Bytes to which the text of each piece is padded.
    pub pad_pieces: usize,
}

impl Default for Condition {
    fn default() -> Self {
        Self {
            paused_until: None,
            straggle_factor: 1.0,
            group_factor: 1.0,
            stalled: false,
            leaving: false,
            lose_order_answers: 0,
            swap_every: 0,
            repeat_every: 0,
            lose_every: 0,
            pad_pieces: 0,
        }
    }
}

impl Condition {
    /// Puts the lasting part of a fault into force.
    pub fn set(&mut self, fault: &EngineFault) {
        if let Some(millis) = fault.pause_ms {
            let pause = Duration::from_millis(millis).min(MAX_PAUSE);
            self.paused_until = Some(Instant::now() + pause);
        }
        if let Some(factor) = fault.straggle_factor {
            self.straggle_factor = factor.clamp(0.0, MAX_STRAGGLE_FACTOR);
        }
        self.leaving = fault.leaving.unwrap_or(self.leaving);
        self.lose_order_answers = fault.lose_order_answers.unwrap_or(self.lose_order_answers);
        self.swap_every = fault.swap_every.unwrap_or(self.swap_every);
        self.repeat_every = fault.repeat_every.unwrap_or(self.repeat_every);
        self.lose_every = fault.lose_every.unwrap_or(self.lose_every);
        self.pad_pieces = fault.pad_pieces.unwrap_or(self.pad_pieces);
    }
}
