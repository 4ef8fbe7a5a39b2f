//! Tests of the commands that validate, show and change records.

use geranium_fakes::system::{System, account, model, until};
use serde_json::{Value, json};

use crate::fixture::{Run, Tool, start};

fn model_in_one_domain() -> Value {
    model(&[("lima-1", 0)], 2)
}

async fn system_with_records() -> (System, Tool) {
    let system = start().await;
    let tool = Tool::for_system(&system);
    let wait = ["apply", "-", "--wait", "--operator", "ana"];
    tool.run_with_document(&wait, &account()).expect_exit(0);
    tool.run_with_document(&wait, &model_in_one_domain())
        .expect_exit(0);
    (system, tool)
}

#[tokio::test(flavor = "multi_thread")]
async fn record_is_checked_written_shown_changed_and_deleted() {
    let system = start().await;
    let tool = Tool::for_system(&system);
    let apply = ["apply", "-", "--wait", "--operator", "ana"];
    until("both hosts know each other", || async {
        (system.status(0).await.hosts.len() == 2).then_some(())
    })
    .await;

    let created = tool.run_with_document(&apply, &account());
    let hash = account()["key_sha256"][0]
        .as_str()
        .expect("text")
        .to_owned();
    let out = created.expect_exit(0);
    assert!(
        out.contains("account desk accepted as generation 1"),
        "{out}"
    );
    assert!(out.contains("in force on 2 of 2 hosts"), "{out}");
    assert!(
        out.contains("  fields: key_sha256, kind, max_concurrent"),
        "{out}"
    );
    assert!(!out.contains(&hash), "{out}");

    tool.run_with_document(&apply, &model_in_one_domain())
        .expect_exit(0);
    check_diff(&tool);
    check_views(&tool);
    check_delete(&tool);
}

fn check_diff(tool: &Tool) {
    let mut changed = model_in_one_domain();
    changed["warm_concurrency"] = json!(33);

    let same = tool.run_with_document(&["diff", "-"], &model_in_one_domain());
    let differs = tool.run_with_document(&["diff", "-"], &changed);
    let unchanged = tool.run_with_document(&["apply", "-"], &model_in_one_domain());
    let accepted = tool.run_with_document(&["apply", "-", "--json"], &changed);

    assert_eq!(same.expect_exit(0), "");
    assert_eq!(differs.expect_exit(7), "warm_concurrency: 32 -> 33\n");
    assert!(
        unchanged
            .expect_exit(0)
            .contains("unchanged at generation 1")
    );
    accepted.expect_exit(0);
    assert_eq!(accepted.json()["generation"], 2);
    assert_eq!(accepted.json()["changes"][0], "warm_concurrency: 32 -> 33");
}

fn check_views(tool: &Tool) {
    let get = tool.run(&["get", "model", "summary", "--json"]);
    let text = tool.run(&["get", "model", "summary"]);
    let list = tool.run(&["list", "--kind", "model"]);
    let all = tool.run(&["list", "--json"]);
    let history = tool.run(&["history", "model", "summary", "--json"]);

    get.expect_exit(0);
    assert_eq!(get.json()["document"]["warm_concurrency"], 33);
    let head = "# model summary, generation 2, by operator at ";
    assert!(text.expect_exit(0).starts_with(head));
    assert!(list.expect_exit(0).contains("summary") && !list.out.contains("desk"));
    assert_eq!(all.json()["records"].as_array().map(Vec::len), Some(2));
    let entries = history.json();
    assert_eq!(entries[0]["generation"], 2);
    assert_eq!(entries[1]["operator"], "ana");
}

fn check_delete(tool: &Tool) {
    let deleted = tool.run(&["delete", "model", "summary", "--wait"]);
    let gone = tool.run(&["get", "model", "summary"]);
    let absent = tool.run(&["delete", "model", "other"]);
    let history = tool.run(&["history", "model", "summary"]);

    assert!(deleted.expect_exit(0).contains("in force on 2 of 2 hosts"));
    gone.expect_exit(6);
    assert!(
        gone.err.contains("model/summary does not exist"),
        "{gone:?}"
    );
    absent.expect_exit(6);
    assert!(history.expect_exit(0).contains("deleted"));
}

#[tokio::test(flavor = "multi_thread")]
async fn all_faults_of_a_record_are_reported_together() {
    let (_system, tool) = system_with_records().await;
    let mut faulty = model_in_one_domain();
    faulty["hosts_per_replica"] = json!(0);
    faulty["warm_concurrency"] = json!("many");
    faulty["colour"] = json!("red");

    let valid = tool.run_with_document(&["validate", "-"], &model_in_one_domain());
    let runs = [
        tool.run_with_document(&["validate", "-"], &faulty),
        tool.run_with_document(&["diff", "-"], &faulty),
        tool.run_with_document(&["apply", "-"], &faulty),
    ];

    assert!(valid.expect_exit(0).contains("model summary is valid"));
    for run in &runs {
        run.expect_exit(4);
        for field in ["hosts_per_replica", "warm_concurrency", "colour"] {
            let named = run.out.contains(field) || run.err.contains(field);
            assert!(named, "{field} is not named in {run:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_race_reports_the_winner_and_the_differences() {
    let (_system, tool) = system_with_records().await;
    let version = |operator: &str, concurrency: u32| {
        let mut document = model_in_one_domain();
        document["warm_concurrency"] = json!(concurrency);
        let args = ["apply", "-", "--operator", operator, "--generation", "1"];
        tool.run_with_document(&args, &document)
    };

    let first = version("ana", 50);
    let second = version("ben", 60);

    first.expect_exit(0);
    let out = second.expect_exit(3);
    assert!(out.contains("not written: the race was lost"), "{out}");
    assert!(out.contains("ana wrote generation 2 first"), "{out}");
    assert!(out.contains("warm_concurrency: 50 -> 60"), "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_hash_is_not_printed_for_a_change() {
    let (_system, tool) = system_with_records().await;
    let old = account()["key_sha256"][0]
        .as_str()
        .expect("text")
        .to_owned();
    let new = "ab".repeat(32);
    let mut rotated = account();
    rotated["key_sha256"] = json!([new]);
    let assert_no_hash = |run: Run| {
        let shows = run.out.contains(&old) || run.out.contains(&new);
        assert!(!shows, "{run:?}");
    };

    let diff = tool.run_with_document(&["diff", "-", "--json"], &rotated);
    let apply = tool.run_with_document(&["apply", "-"], &rotated);
    let lost = tool.run_with_document(&["apply", "-", "--generation", "1"], &account());
    let delete = tool.run(&["delete", "account", "desk", "--json"]);

    diff.expect_exit(7);
    assert!(apply.expect_exit(0).contains("key_sha256[0]"), "{apply:?}");
    lost.expect_exit(3);
    for run in [diff, apply, lost, delete] {
        assert_no_hash(run);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_token_is_rejected_and_not_printed() {
    let system = start().await;
    let mut tool = Tool::for_system(&system);
    let token = "wrong-operator-token";
    tool.env[1].1 = token.to_owned();

    let runs = [
        tool.run(&["status"]),
        tool.run(&["timeline"]),
        tool.run(&["explain", "record", "desk"]),
        tool.run(&["get", "account", "desk"]),
        tool.run_with_document(&["apply", "-"], &account()),
    ];

    for run in &runs {
        run.expect_exit(1);
        assert!(
            run.err.contains("operator token is missing or wrong"),
            "{run:?}"
        );
        assert!(!run.err.contains(token) && !run.out.contains(token));
    }
}
