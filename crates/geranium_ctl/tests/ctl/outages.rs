//! Tests of the tool while an entry host is down.

use std::collections::BTreeSet;

use geranium_fakes::system::{System, account, until};

use crate::fixture::{Tool, start};

/// Starts a system and kills one of its entry hosts after both have learned of each other.
async fn system_with_host_down(position: usize) -> (System, Tool) {
    let mut system = start().await;
    for entry in 0..system.entries.len() {
        until("both hosts know each other", || async {
            (system.status(entry).await.hosts.len() == 2).then_some(())
        })
        .await;
    }
    system.entries[position].kill();
    let tool = Tool::for_system(&system);
    (system, tool)
}

#[tokio::test(flavor = "multi_thread")]
async fn change_not_adopted_by_a_host_is_reported_as_not_in_force() {
    let (_system, tool) = system_with_host_down(1).await;

    let run = tool.run_with_document(&["apply", "-", "--wait", "--timeout-ms", "300"], &account());

    let out = run.expect_exit(5);
    assert!(out.contains("accepted as generation 1"), "{out}");
    assert!(out.contains("in force on 1 of 2 hosts"), "{out}");
    assert!(
        out.contains("not on lima-2-e0 in lima-2, last heard of"),
        "{out}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_hosts_are_reported_by_every_view() {
    let (system, tool) = system_with_host_down(1).await;
    let address = system.entry(1).operator.to_string();

    let status = tool.run(&["status"]);
    let timeline = tool.run(&["timeline"]);
    let json = tool.run(&["timeline", "--json"]);
    let explain = tool.run(&["explain", "group", "none"]);

    let line = "not reached: no entry host of lima-2 answered";
    assert!(status.expect_exit(0).contains(line), "{status:?}");
    let line = format!("not reached: {address}");
    assert!(timeline.expect_exit(0).contains(&line), "{timeline:?}");
    assert_eq!(json.json()["unreached"][0], address);
    explain.expect_exit(6);
    assert!(explain.err.contains(&line), "{explain:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn next_host_is_called_if_the_first_is_down() {
    let (_system, tool) = system_with_host_down(0).await;

    let run = tool.run(&["status", "--json"]);

    run.expect_exit(0);
    let views = run.json();
    let domains: BTreeSet<&str> = views
        .as_array()
        .expect("views")
        .iter()
        .filter_map(|view| view["process"]["failure_domain"].as_str())
        .collect();
    assert_eq!(domains, BTreeSet::from(["lima-2"]));
}
