//! Tests of the commands that show and explain the state.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use geranium_fakes::system::{System, account, open_groups, until};
use serde_json::Value;

use crate::fixture::{Tool, start};
use crate::running_tool::RunningTool;

/// Maximum line width of the output, in columns.
const COLUMNS: usize = 100;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

async fn serving_system() -> (System, Tool) {
    let system = start().await;
    system.apply_model(&[("lima-1", 1), ("lima-2", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    until("the model on the other host", || async {
        let at = system.entry(1).operator;
        system.operator.record(at, "model", "summary").await.ok()
    })
    .await;
    let tool = Tool::for_system(&system);
    (system, tool)
}

#[tokio::test(flavor = "multi_thread")]
async fn state_is_shown_explained_and_drained() {
    let (system, tool) = serving_system().await;
    let group = open_groups(&system.status(0).await).remove(0);

    check_status(&tool);
    check_explain(&tool, &group);
    check_timeline(&tool, &group);
    check_request(&system, &tool).await;
    check_drain(&tool);
}

fn check_status(tool: &Tool) {
    let status = tool.run(&["status"]);
    let views = tool.run(&["status", "--json"]);

    let text = status.expect_exit(0);
    let widest = text.lines().map(|line| line.chars().count()).max();
    assert!(widest <= Some(COLUMNS), "{text}");
    for part in ["ENTRY HOST", "lima-2-e0", "summary", "ACCELERATORS"] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
    assert!(
        text.contains("needs a person: summary serves nothing in lima-2"),
        "{text}"
    );
    views.expect_exit(0);
    let views = views.json();
    assert_eq!(views.as_array().map(Vec::len), Some(2));
    assert_eq!(views[0]["models"][0]["serving"], 1);
}

fn check_explain(tool: &Tool, group: &str) {
    let of_group = tool.run(&["explain", "group", group]);
    let of_host = tool.run(&["explain", "host", "lima-1-h0"]);
    let of_record = tool.run(&["explain", "record", "summary"]);
    let json = tool.run(&["explain", "record", "summary", "--json"]);
    let absent = tool.run(&["explain", "group", "no-such-group"]);

    let text = of_group.expect_exit(0);
    assert!(text.contains("serves record summary on"), "{text}");
    assert!(text.contains("it takes requests"), "{text}");
    let text = of_host.expect_exit(0);
    assert!(
        text.contains(&format!("it is a member of group {group}")),
        "{text}"
    );
    let text = of_record.expect_exit(0);
    let state = "model/summary is at generation 1, written by test";
    assert_eq!(text.matches(state).count(), 1, "{text}");
    assert!(
        json.json()
            .as_array()
            .is_some_and(|found| !found.is_empty())
    );
    absent.expect_exit(6);
    assert!(
        absent
            .err
            .contains("no entry host knows group no-such-group")
    );
}

fn check_timeline(tool: &Tool, group: &str) {
    let all = tool.run(&["timeline"]);
    let of_group = tool.run(&["timeline", "--group", group, "--json"]);
    let of_kind = tool.run(&["timeline", "--kind", "process_started", "--json"]);
    let none = tool.run(&["timeline", "--record", "other", "--since-s", "60", "--json"]);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("timeline.svg");
    let svg = tool.run(&["timeline", "--svg", path.to_str().expect("UTF-8")]);

    assert!(
        all.expect_exit(0).contains(&format!("group={group}")),
        "{all:?}"
    );
    let events = of_group.json()["events"]
        .as_array()
        .expect("events")
        .clone();
    assert!(!events.is_empty());
    assert!(events.iter().all(|e| e["subject"]["group"] == group));
    let events = of_kind.json()["events"].as_array().expect("events").clone();
    assert_eq!(events.len(), 2);
    assert!(events.iter().all(|e| e["kind"] == "process_started"));
    assert_eq!(none.json()["events"].as_array().map(Vec::len), Some(0));
    svg.expect_exit(0);
    let picture = std::fs::read_to_string(&path).expect("an SVG file");
    assert!(picture.starts_with("<svg") && picture.trim_end().ends_with("</svg>"));
}

async fn check_request(system: &System, tool: &Tool) {
    system.apply_service().await;
    let req = system.ban_request(0, "ban-1", "{}");
    let req = req.header_text("x-request-id", "request-1").expect("text");
    let (status, _) = system
        .http
        .send_json::<Value>(req, CALL_TIMEOUT)
        .await
        .expect("an answer");
    assert!(status.is_success(), "{status}");

    let text = tool.run(&["explain", "request", "request-1"]);
    let events = tool.run(&["timeline", "--request", "request-1"]);

    assert!(
        text.expect_exit(0).contains("claim_made on lima-1-e0"),
        "{text:?}"
    );
    assert!(
        events.expect_exit(0).contains("request=request-1"),
        "{events:?}"
    );
}

fn check_drain(tool: &Tool) {
    let drain = [
        "drain",
        "host",
        "lima-1-h0",
        "--reason",
        "new disk",
        "--wait",
    ];
    let drained = tool.run(&drain);
    let record = tool.run(&["get", "drain", "host-lima-1-h0", "--json"]);
    let undrained = tool.run(&["undrain", "host", "lima-1-h0", "--wait"]);
    let gone = tool.run(&["get", "drain", "host-lima-1-h0"]);
    let domain = tool.run(&["drain", "domain", "lima-2"]);
    let again = tool.run(&["undrain", "host", "lima-1-h1"]);

    assert!(drained.expect_exit(0).contains("in force on 2 of 2 hosts"));
    assert_eq!(record.json()["document"]["reason"], "new disk");
    undrained.expect_exit(0);
    gone.expect_exit(6);
    domain.expect_exit(0);
    again.expect_exit(6);
}

#[tokio::test(flavor = "multi_thread")]
async fn follow_prints_each_event_once() {
    let system = start().await;
    let tool = Tool::for_system(&system);
    let mut run = RunningTool::start(&tool, &["timeline", "--follow", "--json"]);
    let mut next = || -> Value {
        let line = run.next_line();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"))
    };
    let mut ids = BTreeSet::new();
    let first = next();
    ids.insert(first["id"].to_string());

    system.apply(&account()).await;

    let mut event = first;
    while event["subject"]["record"] != "desk" {
        event = next();
        assert!(
            ids.insert(event["id"].to_string()),
            "{event} was printed twice"
        );
    }
    assert!(run.is_running());
}
