//! States of a host that are used beside evidence of another time: entries that take effect late,
//! orders that an earlier incarnation was sent, and orders without an answer.

mod engine;
mod fixture;
mod simulation;

use std::time::Duration;

use engine::{model, profile};
use fixture::{group, report, server};
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;
use rand::Rng;
use simulation::{SERVICE, STEP, Simulation, planner};

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Id of the host of the single-host tests.
const HOST: &str = "h1";

/// Creates a host of a fabric domain that holds the weights of `small`.
fn host(id: &str, membership: Option<Membership>) -> Host {
    let joined = membership.as_ref();
    let runs_model = joined.is_some_and(|m| m.state != GroupState::Joining);
    Host {
        fabric_domain: Some("f".into()),
        staged: vec!["small".into()],
        model: runs_model.then(|| "small".into()),
        group: group(membership),
        ..server(id, SERVICE, "a")
    }
}

fn member_of(group: &str, rank: usize, state: GroupState) -> Option<Membership> {
    Some(Membership {
        group: group.into(),
        epoch: 1,
        rank,
        state,
    })
}

fn order(id: &str, expected_count: u64, kind: OrderKind) -> HostOrder {
    HostOrder {
        host: id.into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 1).into(),
        expected_count,
        kind,
    }
}

/// Applies the report of a host that is in the state of its entry.
fn confirm(directory: &mut Directory, host: &Host, orders_begun: u64) {
    let (id, report) = report(host, orders_begun);
    assert_ne!(directory.apply_report(&id, &report), ReportEffect::Older);
}

fn known<'a>(directory: &'a Directory, id: &str) -> &'a Host {
    directory.get(id).expect("the host is known")
}

/// Returns a planner that plans for groups of two hosts.
fn plan(planner: &mut GroupPlanner, directory: &Directory, now: Timestamp) -> Vec<HostOrder> {
    let engine = profile(vec![model("small", 2, 1.0)]);
    planner.plan(directory, SERVICE, &engine, &[1.0], true, now)
}

fn kinds(orders: &[HostOrder]) -> Vec<&str> {
    orders.iter().map(|o| o.kind.as_str()).collect()
}

/// When the planner of [`ordered_joins`] has ordered the joins.
const JOINS_AT: Timestamp = Timestamp::from_millis(START.as_millis() + 5_000);

/// Returns a planner, the directory and the joins with which the planner forms a group of `h1`
/// and `h2`.
fn ordered_joins() -> (GroupPlanner, Directory, Vec<HostOrder>) {
    let mut planner = planner("m", START);
    let mut directory = Directory::default();
    for id in ["h1", "h2"] {
        directory.put(host(id, None));
    }
    let joins = plan(&mut planner, &directory, JOINS_AT);
    assert_eq!(kinds(&joins), ["join", "join"]);
    (planner, directory, joins)
}

/// Returns a planner, the directory and the head's membership of a group that the planner has
/// formed of `h1` and `h2`, which are ready.
fn formed_group() -> (GroupPlanner, Directory, Membership) {
    let (mut planner, mut directory, joins) = ordered_joins();
    let mut head = None;
    for (rank, join) in joins.iter().enumerate() {
        let OrderKind::Join {
            group,
            epoch,
            members,
            ..
        } = &join.kind
        else {
            continue;
        };
        assert_eq!(members[rank], join.host);
        let membership = Membership {
            group: group.clone(),
            epoch: *epoch,
            rank,
            state: GroupState::Ready,
        };
        planner.record_answer(join, OrderAnswer::Begun.into(), &mut directory, JOINS_AT);
        directory.put(host(&join.host, Some(membership.clone())));
        head = head.or(Some(membership));
    }
    let head = head.expect("a group is formed");
    (planner, directory, head)
}

fn load(name: &str) -> OrderKind {
    OrderKind::Stage { model: name.into() }
}

/// Returns a directory in which a load of `m` is under way at count 3, and an entry from before
/// has shown its weights once more. The last report shows the weights of `n`.
fn load_beside_an_outdated_entry() -> Directory {
    let entry = |staged: &str| Host {
        staged: vec![staged.into()],
        ..server(HOST, SERVICE, "a")
    };
    let mut directory = Directory::default();
    directory.put(server(HOST, SERVICE, "a"));
    for (count, name) in ["m", "n", "m"].into_iter().enumerate() {
        let order = order(HOST, count as u64, load(name));
        directory.record_accepted_order(&order, OrderAnswer::Begun);
        if count < 2 {
            directory.put(entry(name));
        }
    }
    assert_eq!(known(&directory, HOST).group.order_count(), Some(3));
    directory.put(entry("m"));
    confirm(&mut directory, &entry("n"), 3);
    directory
}

/// Guards against an order count that is too high (TWO): an outdated entry shows the weights of
/// a load that is under way, so that the load is ordered once more and begins nothing.
#[test]
fn a_load_is_not_counted_twice_after_an_outdated_entry_showed_its_weights() {
    let mut directory = load_beside_an_outdated_entry();

    directory.record_accepted_order(&order(HOST, 3, load("m")), OrderAnswer::Begun);

    assert_eq!(known(&directory, HOST).group.order_count(), None);
}

/// Guards against a host that gets no order for good: its order count was taken to be higher
/// than it is, and each of its reports is dropped for an older one.
#[test]
fn a_host_whose_order_count_was_taken_too_high_gets_orders_again() {
    let mut directory = load_beside_an_outdated_entry();
    directory.record_accepted_order(&order(HOST, 3, load("m")), OrderAnswer::Begun);
    directory.record_conflict(&order(HOST, 4, load("n")));

    let now = known(&directory, HOST).clone();
    let (id, report) = report(&now, 3);
    directory.apply_report(&id, &report);

    assert_eq!(known(&directory, HOST).group.order_count(), Some(3));
}

/// Guards against TWO: a join that an earlier incarnation was sent is carried out by the one
/// that has started since, which has begun as many orders. The manager that sent it counted
/// epochs of which no host has shown any, so that those of the next manager are no higher.
#[test]
fn a_delayed_join_to_an_earlier_incarnation_takes_no_member_of_an_open_group() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 1, 4, vec![model("small", 2, 1.0)]);
        simulation.run(Duration::from_millis(14_500), true);
        let ids: Vec<_> = simulation.hosts.keys().cloned().collect();
        // All orders of the first manager after the loads are delayed.
        simulation.delayed_share = 1.0;
        simulation.run(Duration::from_millis(1_500), true);
        simulation.delayed_share = 0.0;
        for id in &ids {
            simulation.kill(id);
        }
        simulation.replace_manager();
        simulation.run(Duration::from_millis(300), true);
        for id in &ids {
            simulation.revive(id);
        }

        simulation.run(Duration::from_secs(15), true);

        let violations = &simulation.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Guards against an open group that is dissolved after a change of the manager: an outdated
/// entry of its head, from before it was ready, names no model, so that the size of the group is
/// taken to be unknown.
#[test]
fn an_outdated_entry_of_the_head_dissolves_no_open_group() {
    let mut planner = planner("later", START);
    let mut directory = Directory::default();
    let head = host("h1", member_of("g", 0, GroupState::Open));
    let member = host("h2", member_of("g", 1, GroupState::Ready));
    directory.put(head.clone());
    directory.put(member.clone());
    confirm(&mut directory, &head, 2);
    confirm(&mut directory, &member, 1);
    let now = START + Duration::from_secs(5);
    let before = plan(&mut planner, &directory, now);

    directory.put(host("h1", member_of("g", 0, GroupState::Joining)));
    let later = now + Duration::from_secs(3);
    let orders = plan(&mut planner, &directory, later);

    assert_eq!(kinds(&before), Vec::<&str>::new());
    assert_eq!(kinds(&orders), Vec::<&str>::new());
}

/// Guards against a group that stays idle for good: it was closed by an order that got no
/// answer, and its head writes no entry between serving and being ready.
#[test]
fn a_group_that_was_closed_without_an_answer_is_noticed() {
    let (mut planner, mut directory, head) = formed_group();
    let now = START + Duration::from_secs(6);
    let orders = plan(&mut planner, &directory, now);
    assert_eq!(kinds(&orders), ["open"]);
    planner.record_answer(&orders[0], OrderAnswer::Begun.into(), &mut directory, now);
    let in_state = |state| {
        Some(Membership {
            state,
            ..head.clone()
        })
    };
    directory.put(host("h1", in_state(GroupState::Open)));
    let close = OrderKind::Close {
        group: head.group.clone(),
        epoch: head.epoch,
    };
    let close = order("h1", 2, close);
    planner.record_answer(&close, OrderAnswer::Unknown.into(), &mut directory, now);

    // The head has closed the group, and says so with each of its heartbeats.
    let mut noticed = false;
    for after_s in 1..120 {
        let now = now + Duration::from_secs(after_s);
        directory.put(host("h1", in_state(GroupState::Ready)));
        let orders = plan(&mut planner, &directory, now);
        let queried = planner.take_hosts_to_query(now);
        noticed |= !orders.is_empty() || queried.iter().any(|id| &**id == "h1");
    }

    assert!(noticed, "{}", known(&directory, "h1").group);
}

/// Guards against groups that stay idle for good, as above, while the demand moves to another
/// model and back.
#[test]
fn groups_that_were_closed_without_an_answer_serve_again() {
    for seed in 0..10 {
        let models = vec![model("large", 4, 0.5), model("small", 2, 0.5)];
        let mut simulation = Simulation::new(seed, 2, 8, models);
        simulation.run(Duration::from_secs(40), false);
        simulation.lost_answer_share = 1.0;
        simulation.shares = vec![0.9, 0.1];
        simulation.run(Duration::from_secs(1), true);
        simulation.lost_answer_share = 0.0;
        simulation.shares = vec![0.5, 0.5];

        simulation.run(Duration::from_secs(120), true);

        let open = simulation.open_groups("large") + simulation.open_groups("small");
        assert_eq!(open, 6, "seed {seed}: groups that serve");
    }
}

/// Guards against a group that is taken to serve after it was closed, with a usable order count:
/// the entry from before takes effect late.
#[test]
fn an_entry_from_before_a_group_was_closed_does_not_show_it_open_again() {
    let mut directory = Directory::default();
    let head = host(HOST, member_of("g", 0, GroupState::Open));
    directory.put(head.clone());
    confirm(&mut directory, &head, 2);
    let close = OrderKind::Close {
        group: "g".into(),
        epoch: 1,
    };
    directory.record_accepted_order(&order(HOST, 2, close), OrderAnswer::Begun);
    confirm(
        &mut directory,
        &host(HOST, member_of("g", 0, GroupState::Ready)),
        3,
    );

    directory.put(head);

    let known = known(&directory, HOST);
    let is_asked = known.group.order_count().is_none();
    assert!(
        is_asked || known.group_state() == Some(GroupState::Ready),
        "{}",
        known.group
    );
}

/// Guards against a group that is opened without a member: the entry that the member wrote
/// before it started anew takes effect after the one that it wrote since.
#[test]
fn a_group_is_not_opened_after_a_member_has_started_anew() {
    let (mut planner, mut directory, head) = formed_group();
    let anew = Host {
        incarnation: 2,
        ..host("h2", None)
    };
    directory.put(anew);

    let former = Membership { rank: 1, ..head };
    directory.put(host("h2", Some(former)));
    let now = START + Duration::from_secs(6);
    let orders = plan(&mut planner, &directory, now);

    assert_eq!(kinds(&orders), Vec::<&str>::new());
}

/// Guards against TWO: orders that the head's former incarnation was sent twice are carried out
/// by the one that has started since, so that the head serves the same group once more. That it
/// has started anew does not free the members.
#[test]
fn a_head_that_serves_its_group_again_after_a_restart_frees_no_member() {
    let (mut planner, mut directory, membership) = formed_group();
    let now = START + Duration::from_secs(6);
    let open = plan(&mut planner, &directory, now);
    assert_eq!(kinds(&open), ["open"]);
    planner.record_answer(&open[0], OrderAnswer::Begun.into(), &mut directory, now);
    let open_head = Membership {
        state: GroupState::Open,
        ..membership
    };
    let head = host("h1", Some(open_head));
    directory.put(head.clone());
    directory.put(host("h3", None));
    plan(&mut planner, &directory, now);

    directory.put(Host {
        incarnation: 2,
        ..head
    });
    let orders = plan(&mut planner, &directory, now + Duration::from_secs(1));

    let joins = orders.iter().filter(|o| o.kind.as_str() == "join");
    let joined: Vec<&str> = joins.map(|o| &*o.host).collect();
    assert_eq!(joined, Vec::<&str>::new());
}

/// Guards against TWO: a host that has seen a higher epoch than the manager has joined a group
/// that the manager does not know of. What is known of the host is of another time, perhaps of
/// its former incarnation, and no order may rest on it.
#[test]
fn a_host_that_refuses_an_epoch_is_asked_before_it_gets_another_order() {
    let (mut planner, mut directory, joins) = ordered_joins();

    for join in &joins {
        planner.record_answer(join, OrderAnswer::Outdated.into(), &mut directory, JOINS_AT);
    }
    let later = JOINS_AT + Duration::from_secs(1);
    let orders = plan(&mut planner, &directory, later);
    let mut asked = planner.take_hosts_to_query(later);
    asked.sort();

    assert_eq!(kinds(&orders), Vec::<&str>::new());
    assert_eq!(asked, ["h1".into(), "h2".into()] as [HostId; 2]);
}

/// Guards against a host that gets no order while an entry of an earlier incarnation is the last
/// one that took effect: its reports are dropped for those of another incarnation.
#[test]
fn a_report_of_a_newer_incarnation_replaces_an_entry_of_an_earlier_one() {
    let mut directory = Directory::default();
    directory.put(host(HOST, member_of("g", 1, GroupState::Ready)));
    let anew = Host {
        incarnation: 2,
        ..host(HOST, None)
    };

    let (id, report) = report(&anew, 1);
    directory.apply_report(&id, &report);

    assert_eq!(known(&directory, HOST).group.order_count(), Some(1));
}

/// Guards against new work at a server that leaves: an entry from before takes effect late.
#[test]
fn an_outdated_entry_does_not_return_a_draining_host_to_service() {
    let mut directory = Directory::default();
    directory.put(host(HOST, None));
    directory.put(Host {
        state: HostState::Draining,
        ..host(HOST, None)
    });

    directory.put(host(HOST, None));

    assert_eq!(known(&directory, HOST).state, HostState::Draining);
}

/// Guards against a service without servers: each of them was drained once and taken back without
/// a restart, as an operator may do. Its entry is of a later heartbeat, also after the store has
/// returned from an older copy.
#[test]
fn a_host_whose_later_heartbeat_says_ready_returns_to_service() {
    for restored in [false, true] {
        let entry = |state, heartbeat| Host {
            state,
            heartbeat: Some(heartbeat),
            ..host(HOST, None)
        };
        let mut directory = Directory::default();
        directory.put(entry(HostState::Ready, 3));
        directory.put(entry(HostState::Draining, 5));
        if restored {
            directory.keep_draining(START);
        }

        directory.put(entry(HostState::Ready, 3));
        let after_late = known(&directory, HOST).state;
        directory.put(entry(HostState::Ready, 6));
        let after_later = known(&directory, HOST).state;

        assert_eq!(after_late, HostState::Draining, "restored: {restored}");
        assert_eq!(after_later, HostState::Ready, "restored: {restored}");
    }
}

/// Runs failures, restarts, changes of the demand and outdated evidence of each kind. With a
/// second manager, both take turns with directories of their own.
fn run_with_outdated_evidence(seed: u64, with_second: bool) -> Simulation {
    let models = vec![model("large", 4, 0.5), model("small", 2, 0.5)];
    let mut simulation = Simulation::new(seed, 2, 8, models);
    simulation.run(Duration::from_secs(18), false);
    simulation.delayed_share = 0.25;
    simulation.lost_answer_share = 0.1;
    simulation.close_time = Duration::from_millis(1_500);
    simulation.store.delayed_share = 0.4;
    simulation.report_lag = 4;
    if seed % 2 == 1 {
        simulation.enable_standby();
    }
    let mut second = (Directory::default(), planner("second", simulation.now));
    let ids: Vec<_> = simulation.hosts.keys().cloned().collect();
    for _ in 0..24 {
        let id = ids[simulation.rng.random_range(0..ids.len())].clone();
        match simulation.rng.random_range(0..11) {
            0 => simulation.kill(&id),
            1 | 2 => {
                simulation.kill(&id);
                simulation.run(STEP * 3, true);
                simulation.revive(&id);
            }
            3 => simulation.revive(&id),
            4 => {
                let share = simulation.rng.random_range(0.1..0.9);
                simulation.shares = vec![share, 1.0 - share];
            }
            5 => simulation.show_outdated_entries(0.5),
            6 => {
                simulation.store.is_follower = true;
                simulation.run(Duration::from_secs(1), true);
                simulation.store.is_follower = false;
                simulation.replace_manager();
            }
            7 => simulation.set_store_away(true),
            8 | 9 => simulation.set_store_away(false),
            _ => simulation.replace_manager(),
        }
        let longest_turn = simulation.rng.random_range(1..20);
        let end = simulation.now + Duration::from_millis(simulation.rng.random_range(200..4_000));
        while simulation.now < end {
            if with_second {
                std::mem::swap(&mut simulation.directory, &mut second.0);
                std::mem::swap(&mut simulation.planner, &mut second.1);
            }
            let turn = simulation.rng.random_range(1..=longest_turn);
            simulation.run(STEP * turn, true);
        }
    }
    simulation
}

/// Guards against TWO and PARTIAL by outdated evidence of any kind.
#[test]
fn outdated_evidence_violates_no_invariant() {
    for seed in 0..20 {
        let simulation = run_with_outdated_evidence(seed, false);

        let violations = &simulation.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Guards against TWO and PARTIAL by two managers at once, each with a directory of its own that
/// sees a part of the entries, and one of which stands still at times.
#[test]
fn two_managers_at_once_violate_no_invariant() {
    for seed in 100..120 {
        let simulation = run_with_outdated_evidence(seed, true);

        let violations = &simulation.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
