//! Tests of the examples in the operators' reference, `docs/records.md`.

use geranium_core::record::{Document, RecordKind, SchemaVersion};

const PAGE: &str = include_str!("../../../../docs/records.md");

fn examples() -> Vec<Document> {
    let blocks = PAGE.split("```json\n").skip(1);
    let texts = blocks.filter_map(|block| block.split("```").next());
    texts
        .map(|text| Document::parse(text).expect("valid example"))
        .collect()
}

#[test]
fn every_example_is_valid_and_every_kind_has_one() {
    let examples = examples();

    for kind in RecordKind::ALL {
        assert!(examples.iter().any(|d| d.key().kind == kind), "{kind}");
    }
}

#[test]
fn the_upgrade_of_the_first_example_gives_the_second_one() {
    let models: Vec<Document> = examples()
        .into_iter()
        .filter(|d| d.key().kind == RecordKind::Model)
        .collect();

    let upgraded = models[0].upgraded().expect("upgradable");

    assert_eq!(models[0].version(), SchemaVersion::V1);
    assert_eq!(upgraded, models[1]);
}
