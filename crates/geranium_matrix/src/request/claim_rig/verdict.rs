//! What the callers were told, compared with what ran.

use geranium_core::once::ClaimAnswer;

use super::{ClaimRig, LAST, REQUESTS, kept_answer, service_answer};
use crate::request::{Impact, RequestStep, RequestViolation};

impl ClaimRig {
    pub(super) fn violations(&self) -> Vec<RequestViolation> {
        let mut violations = Vec::new();
        let runs: u32 = self.callers.iter().map(|caller| caller.runs).sum();
        if runs > 1 {
            violations.push(RequestViolation::RanTwice(runs));
        }
        for n in 0..REQUESTS {
            violations.extend(self.violations_of(n, runs));
        }
        let last = self.callers[LAST].answers.last();
        if matches!(last, Some(ClaimAnswer::InProgress(_))) {
            violations.push(RequestViolation::StuckInProgress);
        }
        let planned_stop = self.step == RequestStep::Shutdown && self.impact == Impact::default();
        let done = matches!(self.callers[0].answers.first(), Some(ClaimAnswer::Done(_)));
        if planned_stop && !done {
            violations.push(RequestViolation::CutOffByShutdown);
        }
        violations
    }

    pub(super) fn violations_of(&self, n: usize, runs: u32) -> Vec<RequestViolation> {
        let caller = &self.callers[n];
        let mut violations = Vec::new();
        if caller.answers.is_empty() && !self.hosts[n].is_dead() {
            violations.push(RequestViolation::NoAnswer(n));
        }
        if caller.answers.len() > 1 {
            violations.push(RequestViolation::AnsweredTwice(n));
        }
        for answer in &caller.answers {
            match answer {
                ClaimAnswer::NotRun(_) => {
                    if caller.runs > 0 {
                        violations.push(RequestViolation::NotRunRan(n));
                    }
                    if answer.retry_after().is_none() {
                        violations.push(RequestViolation::NoRetryAfter(n));
                    }
                }
                ClaimAnswer::Done(answer) if answer != &service_answer() || caller.runs == 0 => {
                    violations.push(RequestViolation::WrongAnswer(n));
                }
                ClaimAnswer::Replayed(answer) if answer != &kept_answer() || runs == 0 => {
                    violations.push(RequestViolation::WrongAnswer(n));
                }
                _ => {}
            }
        }
        violations
    }
}
