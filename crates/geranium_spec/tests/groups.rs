//! The protocol of group tables, checked with both kinds of engine.

use geranium_spec::groups::{GroupBounds, GroupModel};
use geranium_spec::prelude::*;

fn assert_holds(bounds: GroupBounds) {
    let report = check(&GroupModel::new(bounds, None));

    let violated =
        |property: &&geranium_spec::check::PropertyReport| property.verdict != Verdict::Held;
    assert!(
        report.properties.iter().find(violated).is_none(),
        "{report}"
    );
}

#[test]
fn groups_hold_with_engines_that_check_fencing() {
    assert_holds(GroupBounds::checking().with_writes(3));
}

#[test]
fn groups_hold_with_engines_that_ignore_fencing_and_rest() {
    assert_holds(GroupBounds::ignoring().with_writes(3));
}

#[test]
fn groups_hold_with_lost_and_delayed_answers() {
    assert_holds(GroupBounds::lossy().with_writes(2));
}

#[test]
fn groups_hold_with_spares_that_are_delegated() {
    assert_holds(GroupBounds::delegating().with_writes(2));
}

#[test]
fn groups_hold_with_an_engine_that_restarts() {
    assert_holds(GroupBounds::restarting().with_writes(2));
}
