//! Cells of the request half, with and without their guards.

use geranium_matrix::request::{RequestColumn, RequestMutation, RequestStep, RequestViolation};
use geranium_matrix::{Column, Fault};

fn violations(
    step: RequestStep,
    faults: &[Fault],
    mutation: Option<RequestMutation>,
) -> Vec<RequestViolation> {
    let column = RequestColumn { step, mutation };
    column.violations(faults).unwrap_or_default()
}

/// The cell whose fault is not mended yet; it has a test of its own.
fn is_known_red(step: RequestStep, faults: &[Fault]) -> bool {
    step == RequestStep::Resend && faults == [Fault::StoreRestored]
}

#[test]
fn every_request_cell_holds() {
    for column in RequestColumn::all() {
        let singles = Fault::ALL.iter().map(|&fault| vec![fault]);
        let pairs = column.pairs().into_iter().map(|pair| pair.to_vec());
        for faults in singles.chain(pairs) {
            if !is_known_red(column.step, &faults) {
                let found = violations(column.step, &faults, None);

                assert_eq!(found, [], "{faults:?} at {}", column.step);
            }
        }
    }
}

#[test]
fn resend_after_the_store_was_restored_runs_nothing_twice() {
    let found = violations(RequestStep::Resend, &[Fault::StoreRestored], None);

    assert_eq!(found, []);
}

#[test]
fn dispatch_before_the_claim_is_found_out_without_any_fault() {
    let mutation = Some(RequestMutation::DispatchBeforeClaim);

    let found = violations(RequestStep::Dispatch, &[Fault::Nothing], mutation);

    assert!(matches!(found[..], [RequestViolation::RanTwice(_), ..]));
}

#[test]
fn takeover_of_a_claim_is_found_out() {
    let mutation = Some(RequestMutation::Takeover);

    let found = violations(RequestStep::Dispatch, &[Fault::LeaderPaused], mutation);

    assert!(matches!(found[..], [RequestViolation::RanTwice(_), ..]));
}

#[test]
fn broken_connection_taken_for_unsent_is_found_out() {
    let mutation = Some(RequestMutation::BrokenTakenForUnsent);

    let found = violations(RequestStep::Dispatch, &[Fault::MemberDies], mutation);

    assert!(found.contains(&RequestViolation::NotRunRan(0)), "{found:?}");
}

#[test]
fn cut_stream_taken_for_its_end_is_found_out() {
    let mutation = Some(RequestMutation::CutTakenForEnd);

    let found = violations(RequestStep::MidStream, &[Fault::MemberDies], mutation);

    assert_eq!(found, [RequestViolation::LooksWhole(6)]);
}

#[test]
fn pieces_without_attempt_and_number_are_found_out() {
    let mutation = Some(RequestMutation::PiecesUnnumbered);

    let found = violations(RequestStep::MidStream, &[Fault::MemberStraggles], mutation);

    assert!(matches!(found[..], [RequestViolation::WrongTokens(_), ..]));
}

#[test]
fn request_that_goes_on_crashing_groups_is_found_out() {
    let mutation = Some(RequestMutation::CrashesForgotten);

    let found = violations(RequestStep::FirstToken, &[Fault::RequestCrashes], mutation);

    assert_eq!(found, [RequestViolation::TooManyCrashes(4)]);
}
