//! What the caller got, compared with the whole answer.

use geranium_core::stream::Delivery;

use super::{MAX_CRASHED_GROUPS, StreamRig, TOKENS, tokens_text};
use crate::request::{BackendFault, RequestViolation};

impl StreamRig {
    pub(super) fn violations(&self) -> Vec<RequestViolation> {
        let mut violations = Vec::new();
        let whole = tokens_text(TOKENS);
        if !whole.starts_with(&self.text) {
            violations.push(RequestViolation::WrongTokens(self.text.clone()));
        }
        match &self.end {
            Some(Delivery::End(_)) if self.text != whole => {
                let tokens = self.text.split_whitespace().count();
                violations.push(RequestViolation::LooksWhole(tokens));
            }
            None if !self.caller_cut => violations.push(RequestViolation::NeverEnded),
            _ => {}
        }
        let crashes_each = self.impact.backend == BackendFault::CrashesEach;
        if crashes_each && self.crashed > MAX_CRASHED_GROUPS {
            violations.push(RequestViolation::TooManyCrashes(self.crashed));
        }
        if let Some(Delivery::Error(error)) = &self.end
            && !crashes_each
        {
            violations.push(RequestViolation::StreamFailed(error.clone()));
        }
        violations
    }
}
