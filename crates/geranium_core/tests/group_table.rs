//! Tests of the invariants of the group table.

mod group_fixture;

use geranium_core::group::{GroupError, GroupState, GroupTable};
use geranium_core::id::FencingNumber;
use group_fixture::{domain, fabric, host, member, spec};
use proptest::prelude::*;

fn table_with_group(hosts: &[&str]) -> (GroupTable, geranium_core::id::GroupId) {
    let mut table = GroupTable::new(domain());
    let members = hosts.iter().map(|name| member(name)).collect();
    let id = table
        .form(&spec("v1", 1), &fabric(), members)
        .expect("free hosts");
    (table, id)
}

#[test]
fn a_host_in_a_group_cannot_join_another() {
    let (mut table, _) = table_with_group(&["h1", "h2"]);
    let before = table.clone();

    let formed = table.form(&spec("v1", 1), &fabric(), vec![member("h3"), member("h2")]);

    assert_eq!(formed, Err(GroupError::HostNotFree(host("h2"))));
    assert_eq!(table, before);
}

#[test]
fn a_duplicate_host_is_rejected() {
    let mut table = GroupTable::new(domain());

    let formed = table.form(&spec("v1", 1), &fabric(), vec![member("h1"), member("h1")]);

    assert_eq!(formed, Err(GroupError::HostNotFree(host("h1"))));
}

#[test]
fn a_replaced_member_is_not_free_until_its_release_is_acknowledged() {
    let (mut table, id) = table_with_group(&["h1", "h2"]);
    let old = table.groups()[&id].fencing;

    let fencing = table
        .replace_members(&id, &[(host("h2"), member("h3"))])
        .expect("free spare");

    assert!(fencing > old);
    assert!(!table.is_free(&host("h2")));
    assert!(table.highest_fencing(&host("h2")) > Some(fencing));
    assert_eq!(table.groups()[&id].members[1].host, host("h3"));
    table.acknowledge_release(&host("h2")).expect("releasing");
    assert!(table.is_free(&host("h2")));
    assert_eq!(table.check(), Ok(()));
}

#[test]
fn a_dissolving_group_keeps_its_hosts_until_it_is_removed() {
    let (mut table, id) = table_with_group(&["h1", "h2"]);

    table.begin_dissolve(&id).expect("serving group");

    assert_eq!(table.groups()[&id].state, GroupState::Dissolving);
    assert_eq!(
        table.renew_fencing(&id),
        Err(GroupError::GroupDissolving(id.clone()))
    );
    assert!(!table.is_free(&host("h1")));
    table.remove(&id).expect("existing group");
    assert!(table.releasing().contains_key(&host("h1")));
}

#[test]
fn check_reports_a_host_in_two_groups() {
    let (mut table, first) = table_with_group(&["h1", "h2"]);
    let second = table
        .form(&spec("v1", 1), &fabric(), vec![member("h3"), member("h4")])
        .expect("free hosts");
    let text = serde_json::to_string(&table).expect("serializable");
    let broken: GroupTable =
        serde_json::from_str(&text.replace("\"h3\"", "\"h1\"")).expect("deserializable");

    let checked = broken.check();

    assert_eq!(
        checked,
        Err(GroupError::HostInTwoGroups(host("h1"), first, second))
    );
}

#[test]
fn a_table_round_trips_through_json() {
    let (mut table, _) = table_with_group(&["h1", "h2"]);
    table.stamp(group_fixture::FIRST_INCARNATION, 4);

    let text = serde_json::to_string(&table).expect("serializable");
    let back: GroupTable = serde_json::from_str(&text).expect("deserializable");

    assert_eq!(back, table);
    assert!(back.was_written_by(group_fixture::FIRST_INCARNATION, 5));
}

#[test]
fn exhausted_fencing_numbers_are_an_error() {
    let mut table = GroupTable::new(domain());

    let raised = table.raise_fencing_above(FencingNumber(u64::MAX));

    assert_eq!(raised, Err(GroupError::FencingExhausted));
}

#[derive(Clone, Debug)]
enum Step {
    Form(u8, u8),
    Replace(u8, u8, u8),
    Dissolve(u8),
    Remove(u8),
    Acknowledge(u8),
    Orphan(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..8u8, 0..8u8).prop_map(|(a, b)| Step::Form(a, b)),
        (0..4u8, 0..8u8, 0..8u8).prop_map(|(g, a, b)| Step::Replace(g, a, b)),
        (0..4u8).prop_map(Step::Dissolve),
        (0..4u8).prop_map(Step::Remove),
        (0..8u8).prop_map(Step::Acknowledge),
        (0..8u8).prop_map(Step::Orphan),
    ]
}

fn apply(table: &mut GroupTable, step: &Step) {
    let name = |n: &u8| format!("h{n}");
    let group = |table: &GroupTable, n: &u8| table.groups().keys().nth(usize::from(*n)).cloned();
    // A rejected change leaves the table unchanged; the caller checks the invariants.
    let _ = match step {
        Step::Form(a, b) => table
            .form(
                &spec("v1", 1),
                &fabric(),
                vec![member(&name(a)), member(&name(b))],
            )
            .map(|_| ()),
        Step::Replace(g, a, b) => match group(table, g) {
            Some(id) => table
                .replace_members(&id, &[(host(&name(a)), member(&name(b)))])
                .map(|_| ()),
            None => Ok(()),
        },
        Step::Dissolve(g) => group(table, g).map_or(Ok(()), |id| table.begin_dissolve(&id)),
        Step::Remove(g) => group(table, g).map_or(Ok(()), |id| table.remove(&id)),
        Step::Acknowledge(a) => table.acknowledge_release(&host(&name(a))),
        Step::Orphan(a) => table.release_orphan(&host(&name(a))).map(|_| ()),
    };
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn every_sequence_of_changes_preserves_the_invariants(steps in prop::collection::vec(step(), 1..60)) {
        let mut table = GroupTable::new(domain());
        for step in &steps {
            let before = table.clone();
            apply(&mut table, step);
            prop_assert_eq!(table.check(), Ok(()));
            for order in table.orders() {
                let known = before.highest_fencing(&order.host);
                prop_assert!(Some(order.fencing) >= known, "fencing numbers never decrease");
            }
        }
    }
}
