//! Steps of the control half as columns of the matrix.

use std::time::Duration;

use geranium_core::group::{DelegatedSpares, OutagePolicy};

use super::{Mutation, Scenario, ScenarioResult, Step};
use crate::{Column, Fault, Verdict};

/// Moments of the fault, counted from just before the step.
const MOMENTS: [u64; 7] = [0, 300, 340, 420, 700, 1_700, 3_300];

/// A step of the control half as a column of the matrix.
#[derive(Clone, Debug)]
pub struct ControlColumn {
    /// The step.
    pub step: Step,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
    /// Guard that is removed, if any.
    pub mutation: Option<Mutation>,
}

impl ControlColumn {
    /// Returns every column of the control half.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let kinds = [true, false].into_iter();
        kinds
            .flat_map(|checks_fencing| {
                Step::ALL.iter().map(move |&step| Self {
                    step,
                    checks_fencing,
                    mutation: None,
                })
            })
            .collect()
    }

    /// Runs a cell at every moment and returns the results.
    #[must_use]
    pub fn results(
        &self,
        faults: &[Fault],
        policy: impl OutagePolicy + Clone,
    ) -> Vec<ScenarioResult> {
        let scenario = |millis: &u64| Scenario {
            step: self.step,
            faults: faults.to_vec(),
            phase: Duration::ZERO,
            moment: Duration::from_millis(*millis),
            checks_fencing: self.checks_fencing,
            mutation: self.mutation,
        };
        let scenarios = MOMENTS.iter().map(scenario);
        scenarios.map(|s| s.run(policy.clone())).collect()
    }
}

impl Column for ControlColumn {
    fn step(&self) -> String {
        let suffix = if self.checks_fencing { "" } else { "@unfenced" };
        format!("{}{suffix}", self.step)
    }

    fn run(&self, faults: &[Fault]) -> Verdict {
        let reason = faults.iter().find_map(|f| f.not_applicable(self.step));
        if let Some(reason) = reason {
            return Verdict::NotApplicable(reason.to_owned());
        }
        let results = self.results(faults, DelegatedSpares);
        for (result, moment) in results.iter().zip(MOMENTS) {
            if let Some(violation) = result.violations.first() {
                return Verdict::Red(format!("at {moment} ms: {violation}"));
            }
        }
        let downtimes = results
            .iter()
            .map(|r| r.measures.group_downtime.as_millis());
        let worst = downtimes.max().unwrap_or(0);
        let moments = MOMENTS.len();
        Verdict::Held(format!(
            "at {moments} moments, group downtime up to {worst} ms"
        ))
    }

    fn pairs(&self) -> Vec<[Fault; 2]> {
        match self.step {
            Step::Repair | Step::ConfigurationChange => RISKY_PAIRS.to_vec(),
            _ => Vec::new(),
        }
    }
}

/// Pairs that meet in the store, the lease or the orders.
const RISKY_PAIRS: [[Fault; 2]; 8] = [
    [Fault::AnswersLost, Fault::LeaderPaused],
    [Fault::AnswersLost, Fault::LeaderDies],
    [Fault::DomainCutFromStore, Fault::MemberDies],
    [Fault::DomainCutFromStore, Fault::LeaderDies],
    [Fault::LeaderCutFromStore, Fault::MemberDies],
    [Fault::LeaderPaused, Fault::OrdersLate],
    [Fault::TwoLeaders, Fault::AnswersLost],
    [Fault::StoreRestored, Fault::LeaderDies],
];
