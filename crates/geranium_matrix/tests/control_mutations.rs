//! Each removed guard turns a cell red that holds with the guard in place.

use geranium_core::group::DelegatedSpares;
use geranium_matrix::Fault;
use geranium_matrix::control::{ControlColumn, Mutation, Step, Violation};

/// Runs a cell with a guard removed and returns the rules that were broken.
fn violations(step: Step, faults: &[Fault], mutation: Option<Mutation>) -> Vec<Violation> {
    let column = ControlColumn {
        step,
        checks_fencing: true,
        mutation,
    };
    let results = column.results(faults, DelegatedSpares);
    results.into_iter().flat_map(|r| r.violations).collect()
}

fn bites(
    mutation: Mutation,
    step: Step,
    fault: Fault,
    expected: impl Fn(&Violation) -> bool,
) -> bool {
    let with_guard = violations(step, &[fault], None);
    assert_eq!(with_guard, [], "{step} with {fault} holds with the guard");
    let without = violations(step, &[fault], Some(mutation));
    without.iter().any(expected)
}

#[test]
fn an_order_before_its_intent_is_noticed() {
    let mutation = Mutation::OrderBeforeIntent;

    let noticed = bites(mutation, Step::Formation, Fault::StoreSlow, |v| {
        matches!(v, Violation::OrderWithoutIntent(..))
    });

    assert!(noticed);
}

#[test]
fn an_ambiguous_write_taken_for_applied_is_noticed() {
    let mutation = Mutation::AmbiguousTakenForApplied;

    let noticed = bites(mutation, Step::Formation, Fault::DomainCutFromStore, |v| {
        matches!(v, Violation::OrderWithoutIntent(..))
    });

    assert!(noticed);
}

#[test]
fn a_write_without_compare_is_noticed() {
    let mutation = Mutation::WriteWithoutCompare;

    let noticed = bites(mutation, Step::Formation, Fault::TwoLeaders, |v| {
        matches!(v, Violation::NumberNotFresh(..))
    });

    assert!(noticed);
}

#[test]
fn a_gate_that_ignores_silence_is_noticed() {
    let mutation = Mutation::GateIgnoresSilence;

    let noticed = bites(mutation, Step::Repair, Fault::Nothing, |v| {
        matches!(v, Violation::MemberMissing(..))
    });

    assert!(noticed);
}

#[test]
fn a_gate_that_ignores_a_drain_is_noticed() {
    let mutation = Mutation::GateIgnoresDrain;

    let noticed = bites(mutation, Step::DomainOutAndBack, Fault::Nothing, |v| {
        matches!(v, Violation::OpenWhileOut(..))
    });

    assert!(noticed);
}

#[test]
fn a_gate_that_ignores_leaving_is_noticed() {
    let mutation = Mutation::GateIgnoresLeaving;

    let noticed = bites(mutation, Step::Leaving, Fault::DomainCutFromStore, |v| {
        matches!(v, Violation::OpenWhileLeaving(..))
    });

    assert!(noticed);
}

#[test]
fn a_constant_fencing_number_is_noticed() {
    let mutation = Mutation::FencingConstant;

    let noticed = bites(mutation, Step::Formation, Fault::Nothing, |v| {
        matches!(v, Violation::OrderWithoutIntent(..))
    });

    assert!(noticed);
}

#[test]
fn a_release_of_a_busy_group_is_noticed() {
    let mutation = Mutation::ReleaseWhileBusy;

    let noticed = bites(mutation, Step::ConfigurationChange, Fault::Nothing, |v| {
        matches!(v, Violation::RequestsCut(_))
    });

    assert!(noticed);
}

#[test]
fn orders_that_are_never_repeated_are_noticed() {
    let mutation = Mutation::OrdersSentOnce;

    let noticed = bites(mutation, Step::Formation, Fault::OrdersLost, |v| {
        matches!(v, Violation::NotRestored(..))
    });

    assert!(noticed);
}
