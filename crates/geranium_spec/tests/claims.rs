//! The claim protocol, checked with and without each guard.

use geranium_spec::claims::{ClaimBounds, ClaimModel};
use geranium_spec::prelude::*;

fn assert_passes(bounds: ClaimBounds) {
    let report = check(&ClaimModel::new(bounds, None));

    assert!(report.passed(), "{report}");
}

#[test]
fn claims_hold_with_lost_answers_and_broken_connections() {
    assert_passes(ClaimBounds::lossy_prefix());
}

#[test]
fn claims_hold_with_a_reused_key() {
    assert_passes(ClaimBounds::reused_key());
}

#[test]
fn claims_hold_with_an_outage_and_a_process_that_ends() {
    assert_passes(ClaimBounds {
        lost_answers: 0,
        crashes: 1,
        outages: 1,
        last_tick: 2,
        ..ClaimBounds::lossy()
    });
}
