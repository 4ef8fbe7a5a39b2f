//! The known order count of a host is never higher than the number of orders it has begun.

mod fixture;

use std::time::Duration;

use fixture::{group, report, server};
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;

/// Id of the host of these tests.
const HOST: &str = "h1";

fn membership(state: GroupState) -> Option<Membership> {
    Some(Membership {
        group: "g".into(),
        epoch: 1,
        rank: 0,
        state,
    })
}

/// Returns a directory with a host that has the count, read from its report.
fn directory_with(count: u64, membership: Option<Membership>) -> Directory {
    let mut directory = Directory::default();
    directory.put(Host {
        group: group(membership.clone()),
        ..server(HOST, "engines", "a")
    });
    let host = directory.get(HOST).expect("the host is known");
    let (id, report) = report(host, count);
    assert_ne!(directory.apply_report(&id, &report), ReportEffect::Older);
    directory
}

fn order(expected_count: u64, kind: OrderKind) -> HostOrder {
    HostOrder {
        host: HOST.into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1).into(),
        expected_count,
        kind,
    }
}

fn load(model: &str) -> OrderKind {
    OrderKind::Stage {
        model: model.into(),
    }
}

fn join() -> OrderKind {
    OrderKind::Join {
        group: "g".into(),
        epoch: 1,
        model: "m".into(),
        members: vec![HOST.into()],
    }
}

fn open() -> OrderKind {
    OrderKind::Open {
        group: "g".into(),
        epoch: 1,
    }
}

fn close() -> OrderKind {
    OrderKind::Close {
        group: "g".into(),
        epoch: 1,
    }
}

fn leave() -> OrderKind {
    OrderKind::Leave {
        group: "g".into(),
        epoch: 1,
    }
}

fn count(directory: &Directory) -> Option<u64> {
    directory.get(HOST).and_then(|h| h.group.order_count())
}

/// Guards against TWO: the load of an earlier manager may be under way, so that the order began
/// nothing.
#[test]
fn an_accepted_load_leaves_a_count_from_a_report_unknown() {
    for answer in [OrderAnswer::Begun, OrderAnswer::Done] {
        let mut directory = directory_with(1, None);

        let known = directory.record_accepted_order(&order(1, load("m")), answer);

        assert!(!known, "{answer:?}");
        assert_eq!(count(&directory), None, "{answer:?}");
    }
}

/// Guards against TWO: a load that takes longer than expected is ordered once more.
#[test]
fn only_the_first_load_of_a_host_is_counted_until_its_weights_are_seen() {
    let mut directory = directory_with(0, None);

    let first = directory.record_accepted_order(&order(0, load("m")), OrderAnswer::Begun);
    let second = directory.record_accepted_order(&order(1, load("m")), OrderAnswer::Begun);

    assert!(first);
    assert!(!second);
    assert_eq!(count(&directory), None);
}

#[test]
fn a_load_is_counted_after_the_one_before_it_has_ended() {
    let mut directory = directory_with(0, None);
    directory.record_accepted_order(&order(0, load("m")), OrderAnswer::Begun);

    directory.put(Host {
        staged: vec!["m".into()],
        ..server(HOST, "engines", "a")
    });
    directory.record_accepted_order(&order(1, load("n")), OrderAnswer::Begun);

    assert_eq!(count(&directory), Some(2));
}

#[test]
fn joins_and_leaves_are_counted_and_what_the_manager_ordered_after_them() {
    let mut directory = directory_with(5, None);

    let kinds = [join(), open(), close(), leave()];
    let counts = kinds.into_iter().zip(5..).map(|(kind, expected)| {
        let answer = OrderAnswer::Begun;
        directory.record_accepted_order(&order(expected, kind), answer);
        count(&directory)
    });

    let counts: Vec<Option<u64>> = counts.collect();
    assert_eq!(counts, [Some(6), Some(7), Some(8), Some(9)]);
}

/// Guards against TWO: the group opens or closes already by an order that got no answer.
#[test]
fn an_accepted_open_or_close_leaves_a_count_from_a_report_unknown() {
    for (kind, state) in [(open(), GroupState::Ready), (close(), GroupState::Open)] {
        let mut directory = directory_with(3, membership(state));

        let known = directory.record_accepted_order(&order(3, kind.clone()), OrderAnswer::Begun);

        assert!(!known, "{kind:?}");
    }
}

/// Guards against TWO: the answer to an order of an earlier term as manager.
#[test]
fn an_answer_to_an_order_with_another_count_raises_none() {
    let mut directory = directory_with(3, membership(GroupState::Ready));
    let late = order(3, leave());
    directory.clear_order_counts();

    let known = directory.record_accepted_order(&late, OrderAnswer::Begun);

    assert!(!known);
    assert_eq!(count(&directory), None);
}

/// Guards against TWO: a join loads weights that the host lacks, and goes on with that after it
/// was ordered to leave.
#[test]
fn a_load_is_not_counted_while_one_that_a_join_began_may_be_under_way() {
    let mut directory = directory_with(0, None);
    for (expected, kind) in [join(), leave()].into_iter().enumerate() {
        let kind = order(expected as u64, kind);
        directory.record_accepted_order(&kind, OrderAnswer::Begun);
    }
    let before = count(&directory);

    let known = directory.record_accepted_order(&order(2, load("m")), OrderAnswer::Begun);

    assert_eq!(before, Some(2));
    assert!(!known);
    assert_eq!(count(&directory), None);
}

#[test]
fn a_load_is_counted_after_the_weights_of_a_join_were_seen() {
    let mut directory = directory_with(0, None);
    directory.record_accepted_order(&order(0, join()), OrderAnswer::Begun);

    directory.put(Host {
        staged: vec!["m".into()],
        group: group(membership(GroupState::Ready)),
        ..server(HOST, "engines", "a")
    });
    directory.record_accepted_order(&order(1, load("n")), OrderAnswer::Begun);

    assert_eq!(count(&directory), Some(2));
}

/// Guards against status requests to hosts that are gone, which are priced and answer nothing.
#[test]
fn a_host_that_is_gone_is_not_queried_for_its_count() {
    let start = Timestamp::from_millis(1_000_000);
    let mut planner = GroupPlanner::new(
        PlannerSettings {
            nonce: "m".into(),
            first_epoch: start.as_millis(),
            load_window: Duration::from_secs(5),
        },
        start,
    );
    let mut directory = directory_with(1, None);
    directory.remove(HOST, start);

    planner.record_answer(
        &order(1, load("m")),
        OrderAnswer::Begun.into(),
        &mut directory,
        start,
    );

    let queried = planner.take_hosts_to_query(start + Duration::from_secs(5));
    assert_eq!(queried, Vec::<HostId>::new());
}

/// Guards against a delayed write of the store that makes the head of an open group look free,
/// so that it is joined to another group.
#[test]
fn an_entry_without_the_group_that_was_not_left_makes_the_count_unknown() {
    let mut directory = directory_with(4, membership(GroupState::Open));
    let left = HostOrder {
        host: "h2".into(),
        ..order(4, leave())
    };
    directory.record_accepted_order(&left, OrderAnswer::Done);

    directory.put(server(HOST, "engines", "a"));

    let host = directory.get(HOST).expect("the host is known");
    assert_eq!(host.group.order_count(), None);
}

/// Guards against a query, and its delay, of each host that left its group by an order.
#[test]
fn an_entry_without_the_group_that_was_left_keeps_the_count() {
    let mut directory = directory_with(4, membership(GroupState::Open));
    directory.record_accepted_order(&order(4, leave()), OrderAnswer::Done);

    directory.put(server(HOST, "engines", "a"));

    let host = directory.get(HOST).expect("the host is known");
    assert_eq!(host.group.order_count(), Some(5));
}
