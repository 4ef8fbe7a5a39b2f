//! The gate of a replica group, checked with late and lost reports.

use geranium_spec::gate::{GateBounds, GateModel};
use geranium_spec::prelude::*;

#[test]
fn open_gate_has_no_member_missing_for_longer_than_its_bound() {
    let report = check(&GateModel::new(GateBounds::small(), None));

    assert_eq!(report.properties[0].verdict, Verdict::Held, "{report}");
}
