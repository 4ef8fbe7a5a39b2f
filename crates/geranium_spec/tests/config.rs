//! The spread of a record, checked with races, lost answers and a restored store.

use geranium_spec::config::{ConfigBounds, ConfigModel};
use geranium_spec::prelude::*;

fn assert_passes(bounds: ConfigBounds) {
    let report = check(&ConfigModel::new(bounds, None));

    assert!(report.passed(), "{report}");
}

#[test]
fn configuration_never_reverts_when_operators_race() {
    assert_passes(ConfigBounds {
        plans: 2,
        ..ConfigBounds::racing()
    });
}

#[test]
fn configuration_never_reverts_when_the_store_is_restored() {
    assert_passes(ConfigBounds {
        plans: 2,
        ..ConfigBounds::restoring()
    });
}
