//! Groups that produce the answer.

use std::time::Duration;

use super::{BACKEND_PAUSE, Event, GROUPS, HALF, STALL, StreamRig, TOKEN_TIME, TOKENS, piece};
use crate::request::{BackendFault, RequestStep};

impl StreamRig {
    /// Lets a group that was not tried produce the rest of the answer.
    pub(super) fn dispatch(&mut self) {
        let Some(group) = (0..GROUPS).find(|group| !self.tried.contains(group)) else {
            self.stream.interrupt();
            return;
        };
        self.tried.insert(group);
        if self.tried.len() == 1 {
            self.strike(RequestStep::FirstToken);
        }
        self.send_pieces();
        let check = Event::StallCheck(self.stream.attempt(), self.heard);
        self.schedule.after(STALL, check);
    }

    pub(super) fn send_pieces(&mut self) {
        let (attempt, from) = (self.stream.attempt(), self.stream.tokens());
        self.attempt_from = from;
        let ends_at = self.group_ends_after(from);
        for index in from..=TOKENS {
            let sequence = index - from;
            let wait = TOKEN_TIME * u32::try_from(sequence + 1).unwrap_or(u32::MAX);
            if ends_at == Some(index) {
                self.schedule.after(wait, Event::GroupEnds(attempt));
                return;
            }
            let piece = piece(attempt, sequence, index);
            let wait = wait + self.delay(index);
            if self.straggles() {
                // The same piece arrives again, after later ones.
                let again = Event::Arrives(piece.clone());
                self.schedule.after(wait + TOKEN_TIME * 3, again);
            }
            self.schedule.after(wait, Event::Arrives(piece));
        }
    }

    pub(super) fn straggles(&self) -> bool {
        self.is_hit() && self.impact.backend == BackendFault::Straggles
    }

    /// Returns whether the present group is the one that the fault strikes.
    pub(super) fn is_hit(&self) -> bool {
        self.tried.len() == 1
    }

    /// Returns the token before which the group ends, if it does.
    pub(super) fn group_ends_after(&self, from: u64) -> Option<u64> {
        let dies = match self.impact.backend {
            BackendFault::Dies => self.is_hit(),
            BackendFault::CrashesEach => true,
            _ => false,
        };
        dies.then(|| from.max(self.step_token()))
    }

    /// Returns the token at which the step is reached.
    pub(super) fn step_token(&self) -> u64 {
        match self.step {
            RequestStep::End => TOKENS,
            RequestStep::MidStream | RequestStep::Shutdown => HALF,
            _ => 0,
        }
    }

    pub(super) fn delay(&self, index: u64) -> Duration {
        if !self.is_hit() || index < self.step_token() {
            return Duration::ZERO;
        }
        match self.impact.backend {
            BackendFault::Pauses => BACKEND_PAUSE,
            // Every other piece is overtaken by the one after it.
            BackendFault::Straggles if index.is_multiple_of(2) => TOKEN_TIME * 2,
            _ => Duration::ZERO,
        }
    }
}
