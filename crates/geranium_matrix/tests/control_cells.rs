//! Cells of the control half and their verdicts.

use std::time::Duration;

use geranium_core::group::{DelegatedSpares, NoDelegation};
use geranium_matrix::control::{ControlColumn, OutageCost, OutageFault, Scenario, Step};
use geranium_matrix::{Column, Fault, Matrix, Verdict};

fn column(step: Step, checks_fencing: bool) -> ControlColumn {
    ControlColumn {
        step,
        checks_fencing,
        mutation: None,
    }
}

#[test]
fn every_step_holds_when_nothing_fails() {
    for column in ControlColumn::all() {
        let verdict = column.run(&[Fault::Nothing]);

        assert!(
            matches!(verdict, Verdict::Held(_)),
            "{}: {verdict}",
            column.step()
        );
    }
}

#[test]
fn a_matrix_comes_out_the_same_on_every_run() {
    struct OneRow(ControlColumn);
    impl Column for OneRow {
        fn step(&self) -> String {
            self.0.step()
        }
        fn run(&self, faults: &[Fault]) -> Verdict {
            match faults {
                [Fault::LeaderPaused] => self.0.run(faults),
                _ => Verdict::NotApplicable("another row".to_owned()),
            }
        }
    }
    let repair = OneRow(column(Step::Repair, true));

    let first = Matrix::run(&[&repair], 1);
    let second = Matrix::run(&[&repair], 2);

    assert_eq!(first, second);
    assert_eq!(first.totals().held, 1);
}

#[test]
fn delegated_spares_repair_during_an_outage_and_frozen_groups_wait() {
    let cost = OutageCost {
        fault: OutageFault::MemberDies,
        outage: Duration::from_secs(20),
        checks_fencing: true,
    };

    let (frozen, frozen_broken) = cost.run(NoDelegation);
    let (delegated, delegated_broken) = cost.run(DelegatedSpares);

    assert_eq!((frozen_broken, delegated_broken), (0, 0));
    assert!(frozen.group_downtime > Duration::from_secs(15));
    assert!(delegated.group_downtime < Duration::from_secs(6));
}

#[test]
fn a_leader_that_hears_no_engine_leaves_groups_alone() {
    let column = column(Step::ConfigurationChange, true);

    let results = column.results(&[Fault::LeaderCutFromEngines], DelegatedSpares);

    assert!(results.iter().all(|r| r.violations.is_empty()));
    assert!(results.iter().all(|r| r.measures.group_downtime.is_zero()));
}

#[test]
fn random_faults_at_random_moments_break_no_rule() {
    for seed in 0..12 {
        let scenario = Scenario::random(seed);

        let result = scenario.run(DelegatedSpares);

        assert_eq!(result.violations, [], "seed {seed}: {scenario}");
    }
}

#[test]
fn an_answer_that_waited_while_its_process_was_paused_opens_no_gate() {
    let column = column(Step::LeaderChange, false);

    let results = column.results(
        &[Fault::LeaderPaused, Fault::MemberReturns],
        DelegatedSpares,
    );

    assert!(results.iter().all(|r| r.violations.is_empty()));
}
