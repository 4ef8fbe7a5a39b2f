//! Cells of the request half.

use super::{ClaimRig, Impact, RequestMutation, RequestStep, RequestViolation, StreamRig};
use crate::{Column, Fault, Verdict};

/// A step of a request as a column of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct RequestColumn {
    /// The step.
    pub step: RequestStep,
    /// Guard that is removed, if any.
    pub mutation: Option<RequestMutation>,
}

impl RequestColumn {
    /// Returns a column for each step.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let column = |&step| Self {
            step,
            mutation: None,
        };
        RequestStep::ALL.iter().map(column).collect()
    }

    /// Lets faults strike at the step and returns the promises that were broken.
    ///
    /// # Errors
    ///
    /// Returns the reason if a fault has nothing to do with requests.
    pub fn violations(&self, faults: &[Fault]) -> Result<Vec<RequestViolation>, &'static str> {
        let impact = Impact::of(faults)?;
        let mut violations = Vec::new();
        if self.step.has_claim() {
            violations.extend(ClaimRig::new(self.step, impact, self.mutation).run());
        }
        if self.step.has_stream() {
            violations.extend(StreamRig::new(self.step, impact, self.mutation).run());
        }
        Ok(violations)
    }
}

impl Column for RequestColumn {
    fn step(&self) -> String {
        self.step.to_string()
    }

    fn run(&self, faults: &[Fault]) -> Verdict {
        match self.violations(faults) {
            Err(reason) => Verdict::NotApplicable(reason.to_owned()),
            Ok(violations) => match violations.first() {
                None => Verdict::Held("every caller was told the truth".to_owned()),
                Some(first) => Verdict::Red(first.to_string()),
            },
        }
    }

    fn pairs(&self) -> Vec<[Fault; 2]> {
        if !matches!(
            self.step,
            RequestStep::Claim
                | RequestStep::Dispatch
                | RequestStep::AnswerKept
                | RequestStep::Resend
        ) {
            return Vec::new();
        }
        vec![
            [Fault::LeaderPaused, Fault::AnswersLost],
            [Fault::LeaderDies, Fault::DomainCutFromStore],
            [Fault::LeaderCutFromPeers, Fault::AnswersLost],
            [Fault::LeaderPaused, Fault::DomainCutFromStore],
            [Fault::MemberPauses, Fault::LeaderCutFromPeers],
            [Fault::MemberDies, Fault::AnswersLost],
        ]
    }
}
