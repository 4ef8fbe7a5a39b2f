//! Tests groups, leaders and failure domains while processes and the platform fail.

use std::time::{Duration, Instant};

use geranium_core::engine::{HostEntry, HostState};
use geranium_core::id::{FabricDomainId, FailureDomainId, HostId};
use geranium_fakes::engine::EngineFault;
use geranium_fakes::platform::PlatformFault;
use geranium_operator::GroupView;
use hyper::StatusCode;
use serde_json::json;

use geranium_fakes::system::until;
use geranium_fakes::system::{DomainSize, System, content, expected, open_groups};

use crate::GERANIUMD;

const TWO_ENTRIES: DomainSize = DomainSize::new("lima-1", 2, 3);

async fn first_open_group(system: &System) -> GroupView {
    let status = system.status(0).await;
    let mut groups = status.groups.into_iter();
    groups.find(|group| group.open).expect("an open group")
}

async fn wait_for_leader(system: &System) -> usize {
    until("a leader", || async {
        for position in 0..system.entries.len() {
            let at = system.entry(position).operator;
            if system
                .operator
                .status(at)
                .await
                .is_ok_and(|status| status.leading)
            {
                return Some(position);
            }
        }
        None
    })
    .await
}

async fn wait_for_other_leader(system: &System, old: usize) {
    until("another leader", || async {
        let at = system.entry(1 - old).operator;
        system
            .operator
            .status(at)
            .await
            .ok()
            .filter(|status| status.leading)
    })
    .await;
}

async fn serving_system() -> System {
    let system = System::start(GERANIUMD, &[TWO_ENTRIES], |_| {}).await;
    system.apply_model(&[("lima-1", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.chat_until_ok(0, "first", 2).await;
    system
}

fn at_most_one_group_is_assigned(system: &System) -> bool {
    // Each engine reports at most one group, and a group has two members, so more than two
    // assigned engines would belong to several groups.
    let reports: Vec<_> = system
        .engines
        .iter()
        .flatten()
        .map(geranium_fakes::FakeEngine::report)
        .collect();
    let assigned = reports.iter().filter(|r| r.assignment.is_some()).count();
    assigned <= 2
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_during_formation_is_replaced_by_one_that_finishes_it() {
    let mut system = System::start(GERANIUMD, &[TWO_ENTRIES], |cfg| {
        cfg.load_time = Duration::from_millis(1_500);
    })
    .await;
    let leader = wait_for_leader(&system).await;
    system.apply_model(&[("lima-1", 1)], 2).await;
    until("an order", || async {
        let followed: u64 = system
            .engines
            .iter()
            .flatten()
            .map(|e| e.stats().orders_followed)
            .sum();
        (followed > 0).then_some(())
    })
    .await;

    system.entries[leader].kill();

    let other = 1 - leader;
    wait_for_other_leader(&system, leader).await;
    let answer = system.chat_until_ok(other, "after the kill", 4).await;
    assert_eq!(answer, expected("after the kill", 4));
    assert!(at_most_one_group_is_assigned(&system));
}

#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_during_repair_is_replaced_by_one_that_repairs() {
    let mut system = serving_system().await;
    let leader = wait_for_leader(&system).await;
    let failed_member = {
        let mut reports = system
            .engines
            .iter()
            .flatten()
            .map(geranium_fakes::FakeEngine::report);
        let member = reports.rfind(|r| r.assignment.is_some()).expect("a member");
        system.engine_on(&member.host)
    };

    system.engines[failed_member] = None;
    system.entries[leader].kill();

    let other = 1 - leader;
    wait_for_other_leader(&system, leader).await;
    let answer = system.chat_until_ok(other, "after both", 4).await;
    assert_eq!(answer, expected("after both", 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_leader_that_thaws_does_no_harm() {
    let system = serving_system().await;
    let leader = wait_for_leader(&system).await;
    let other = 1 - leader;

    system.entries[leader].freeze();
    wait_for_other_leader(&system, leader).await;
    let during = system.chat_until_ok(other, "while frozen", 4).await;
    system.entries[leader].thaw();
    until("one leader", || async {
        let at = system.entry(leader).operator;
        system
            .operator
            .status(at)
            .await
            .ok()
            .filter(|status| !status.leading)
    })
    .await;

    assert_eq!(during, expected("while frozen", 4));
    let after = system.chat_until_ok(leader, "after the thaw", 4).await;
    assert_eq!(after, expected("after the thaw", 4));
    assert!(at_most_one_group_is_assigned(&system));
    let deaths: u64 = system
        .engines
        .iter()
        .flatten()
        .map(|e| e.stats().replica_deaths)
        .sum();
    let states: Vec<_> = system
        .engines
        .iter()
        .flatten()
        .map(|e| (e.report(), e.stats()))
        .collect();
    assert_eq!(deaths, 0, "{states:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn group_serves_on_while_the_platform_is_down() {
    let system = serving_system().await;
    system.warm_up(0).await;

    let down = PlatformFault {
        unavailable: Some(true),
        ..PlatformFault::default()
    };
    system.platform.set_fault(&down);
    until("both hosts to notice", || async {
        let a = system.status(0).await;
        let b = system.status(1).await;
        (!a.store.reachable && !b.store.reachable).then_some(())
    })
    .await;
    // Longer than the leader's lease, so that serving cannot depend on it.
    tokio::time::sleep(Duration::from_secs(4)).await;

    for entry in [0, 1] {
        let (status, body) = system
            .chat(entry, "during the outage", 4)
            .await
            .expect("an answer");
        assert_eq!(status, StatusCode::OK);
        assert_eq!(content(&body), expected("during the outage", 4));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn member_that_dies_is_replaced_by_a_spare_and_its_gate_closes() {
    let mut system = serving_system().await;
    let group = first_open_group(&system).await;
    let dead = group.members[1].host.clone();
    let position = system.engine_on(&dead);

    system.engines[position] = None;

    let repaired = until("a repaired group", || async {
        let status = system.status(0).await;
        let group = status.groups.iter().find(|group| group.open)?.clone();
        let without = group.members.iter().all(|member| member.host != dead);
        without.then_some(group)
    })
    .await;
    assert_eq!(repaired.members.len(), 2);
    let answer = system.chat_until_ok(1, "after the repair", 4).await;
    assert_eq!(answer, expected("after the repair", 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_failure_domain_gets_no_new_work_and_comes_back() {
    let domains = [
        DomainSize::new("lima-1", 1, 2),
        DomainSize::new("lima-2", 1, 2),
    ];
    let system = System::start(GERANIUMD, &domains, |cfg| cfg.warm_after = 1).await;
    system.apply_model(&[("lima-1", 1), ("lima-2", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.wait_serving("lima-2", 1).await;
    system.chat_until_ok(0, "first", 2).await;
    system.chat_until_ok(1, "first", 2).await;
    system.warm_up(0).await;
    let drain = json!({
        "schema_version": 2, "kind": "drain", "name": "domain-lima-1",
        "target": {"failure_domain": "lima-1"}, "reason": "power work",
    });
    let executions = |system: &System| -> u64 {
        let of_domain = system.engines.iter().flatten().take(2);
        of_domain.map(|e| e.stats().executions).sum()
    };

    system.apply(&drain).await;
    until("closed gates", || async {
        open_groups(&system.status(0).await)
            .is_empty()
            .then_some(())
    })
    .await;
    let before = executions(&system);
    let through = until("an answer from the other failure domain", || async {
        let (status, body) = system.chat(0, "elsewhere", 4).await.ok()?;
        (status == StatusCode::OK).then(|| content(&body))
    })
    .await;
    let during = executions(&system);
    let undrain = geranium_operator::ApplyRequest {
        document: serde_json::Value::Null,
        expected_generation: None,
        operator: "test".to_owned(),
    };
    let at = system.entry(0).operator;
    system
        .operator
        .apply(at, "drain", "domain-lima-1", &undrain)
        .await
        .expect("accepted");

    assert_eq!(through, expected("elsewhere", 4));
    assert_eq!(during, before);
    system.wait_serving("lima-1", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_begins_to_leave_gets_no_new_work() {
    let system = serving_system().await;
    let group = first_open_group(&system).await;
    let leaving = group.members[1].host.clone();
    let engine = system.engine(system.engine_on(&leaving));
    engine.set_fault(&EngineFault {
        leaving: Some(true),
        ..EngineFault::default()
    });

    let moved = until("a group without the leaving host", || async {
        let status = system.status(0).await;
        let group = status.groups.iter().find(|group| group.open)?.clone();
        group
            .members
            .iter()
            .all(|member| member.host != leaving)
            .then_some(group)
    })
    .await;

    assert_eq!(moved.members.len(), 2);
    let answer = system.chat_until_ok(0, "moved", 4).await;
    assert_eq!(answer, expected("moved", 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn new_version_takes_over_without_a_gap() {
    let domain = DomainSize::new("lima-1", 1, 4);
    let system = System::start(GERANIUMD, &[domain], |cfg| cfg.warm_after = 1).await;
    system.apply_model(&[("lima-1", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.chat_until_ok(0, "first", 2).await;
    let mut newer = geranium_fakes::system::model(&[("lima-1", 1)], 2);
    newer["version"] = json!("4");
    system.apply(&newer).await;
    let of = |version: &str| {
        let prompt = geranium_engine::ChatRequest::user("summary", "which version").prompt();
        geranium_fakes::expected_text(geranium_fakes::system::WEIGHTS, version, &prompt, 4)
    };

    let start = Instant::now();
    let mut refused = 0;
    let mut last = String::new();
    while last != of("4") && start.elapsed() < Duration::from_secs(40) {
        let (status, body) = system.chat(0, "which version", 4).await.expect("an answer");
        if status == StatusCode::OK {
            last = content(&body);
            assert!(
                last == of("3") || last == of("4"),
                "neither version: {last}"
            );
        } else {
            refused += 1;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    assert_eq!(last, of("4"));
    assert_eq!(refused, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn host_that_the_platform_lists_as_leaving_is_replaced() {
    let system = serving_system().await;
    let group = first_open_group(&system).await;
    let leaving = group.members[0].host.clone();
    let entry = HostEntry {
        host: HostId::new(leaving.as_str()),
        failure_domain: FailureDomainId::new("lima-1"),
        fabric_domain: FabricDomainId::new("lima-1-f0"),
        address: system.engine(system.engine_on(&leaving)).address(),
        accelerators: 8,
        checks_fencing: true,
        state: HostState::Leaving,
    };

    let value = serde_json::to_vec(&entry).expect("JSON");
    system
        .platform
        .put(&format!("/platform/hosts/{leaving}"), value);

    until("a group without the leaving host", || async {
        let status = system.status(0).await;
        let group = status.groups.iter().find(|group| group.open)?.clone();
        group
            .members
            .iter()
            .all(|member| member.host != leaving)
            .then_some(())
    })
    .await;
    let answer = system.chat_until_ok(0, "moved", 4).await;
    assert_eq!(answer, expected("moved", 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_group_of_another_failure_domain_is_used_through_its_entry_host() {
    let domains = [
        DomainSize::new("lima-1", 1, 0),
        DomainSize::new("lima-2", 1, 2),
    ];
    let system = System::start(GERANIUMD, &domains, |cfg| cfg.warm_after = 100_000).await;
    system.apply_model(&[("lima-2", 1)], 2).await;
    system.wait_serving("lima-2", 1).await;

    let answer = system.chat_until_ok(0, "from next door", 4).await;

    assert_eq!(answer, expected("from next door", 4));
    let over: u64 = system
        .engines
        .iter()
        .flatten()
        .map(|e| e.stats().over_capacity)
        .sum();
    assert_eq!(over, 0);
}
