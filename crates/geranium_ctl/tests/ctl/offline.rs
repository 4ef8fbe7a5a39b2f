//! Tests that need no running entry host.

use std::io::{Read, Write};
use std::process::{Command, Stdio};

use geranium_core::record::hash_key;
use serde_json::{Value, json};

use crate::fixture::Tool;

#[test]
fn help_and_version_need_no_settings_and_work_after_a_command() {
    let tool = Tool::without_settings();

    let help = tool.run(&["--help"]);
    let of_command = tool.run(&["apply", "--help"]);
    let version = tool.run(&["--version"]);

    let text = help.expect_exit(0);
    for word in ["validate", "timeline", "exit codes", "GERANIUM_HOSTS"] {
        assert!(text.contains(word), "{word} is not in the help");
    }
    assert_eq!(of_command.expect_exit(0), text);
    let expected = format!("geraniumctl {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(version.expect_exit(0), expected);
}

#[test]
fn usage_errors_are_reported_together() {
    let tool = Tool::without_settings();

    let run = tool.run(&["frobnicate", "--timeout-ms", "soon", "--generation", "x"]);

    run.expect_exit(2);
    for fault in [
        "--timeout-ms has the value \"soon\"",
        "--generation has the value \"x\"",
        "command \"frobnicate\" does not exist",
        "--hosts",
        "--operator-token",
    ] {
        assert!(run.err.contains(fault), "{fault} is not in {}", run.err);
    }
}

#[test]
fn arguments_of_commands_are_checked_before_any_host_is_called() {
    let env = vec![
        ("GERANIUM_HOSTS", "127.0.0.1:9".to_owned()),
        ("GERANIUM_OPERATOR_TOKEN", "operator-token-x".to_owned()),
    ];
    let tool = Tool { env };

    for (args, fault) in [
        (&[][..], "a command is missing"),
        (&["get", "model"], "argument NAME is missing"),
        (
            &["drain", "rack", "r1"],
            "\"rack\" is not one of domain|host",
        ),
        (
            &["explain", "rack", "r1"],
            "\"rack\" is not one of request|",
        ),
        (&["timeline", "--kind", "odd"], "no event has this kind"),
        (&["get", "odd", "x"], "record kind \"odd\" does not exist"),
        (&["get", "model", "a b"], "argument NAME is \"a b\""),
        (&["delete", "model", "a/b"], "argument NAME is \"a/b\""),
        (&["list", "--kind", "odd"], "--kind has the value \"odd\""),
        (&["explain", "group", "a b"], "argument ID is \"a b\""),
        (&["undrain", "domain", "a b"], "argument NAME is \"a b\""),
        (
            &["timeline", "--group", "a&b=c"],
            "--group has the value \"a&b=c\"",
        ),
        (&["status", "stray"], "unexpected argument \"stray\""),
        (&["list", "--hosts", "localhost:1"], "--hosts has the value"),
    ] {
        let run = tool.run(args);
        run.expect_exit(2);
        assert!(run.err.contains(fault), "{fault} is not in {}", run.err);
        assert!(!run.err.contains("operator-token-x"));
    }
}

#[test]
fn unreachable_host_is_reported() {
    let address = geranium_fakes::system::free_address().to_string();
    let tool = Tool::without_settings();

    let run = tool.run(&["status", "--hosts", &address, "--operator-token", "t"]);

    run.expect_exit(1);
    assert!(run.err.contains("no entry host answered"), "{run:?}");
    assert!(run.err.contains(&address), "{run:?}");
}

#[test]
fn key_is_hashed_without_line_end_and_empty_key_is_rejected() {
    let tool = Tool::without_settings();

    let run = tool.run_with_stdin(&["hash-key"], "desk-key\n");
    let empty = tool.run_with_stdin(&["hash-key"], "\n");

    assert_eq!(run.expect_exit(0).trim(), hash_key("desk-key"));
    assert_eq!(empty.expect_exit(2), "");
    assert!(empty.err.contains("the account key is empty"));
}

#[test]
fn file_without_a_record_is_rejected_before_any_host_is_called() {
    let address = geranium_fakes::system::free_address().to_string();
    let settings = ["--hosts", &address, "--operator-token", "t"];
    let tool = Tool::without_settings();

    let absent = tool.run(&[&["apply", "no-such-file.json"][..], &settings].concat());
    let broken = tool.run_with_stdin(&[&["apply", "-"][..], &settings].concat(), "{");
    let unnamed = json!({"kind": "model"});
    let unnamed = tool.run_with_document(&[&["apply", "-"][..], &settings].concat(), &unnamed);

    let misnamed = json!({"kind": "model", "name": "a b"});
    let misnamed = tool.run_with_document(&[&["apply", "-"][..], &settings].concat(), &misnamed);

    misnamed.expect_exit(4);
    assert!(misnamed.err.contains("\"a b\""), "{misnamed:?}");
    absent.expect_exit(1);
    assert!(absent.err.contains("no-such-file.json"));
    broken.expect_exit(4);
    unnamed.expect_exit(4);
    assert!(unnamed.err.contains("\"name\" is missing"));
}

#[test]
fn closed_output_pipe_is_not_an_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_geraniumctl"))
        .arg("--help")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");

    drop(child.stdout.take());
    let ended = child.wait_with_output().expect("the tool ends");

    let err = String::from_utf8_lossy(&ended.stderr);
    assert!(!err.contains("panicked"), "{err}");
    assert!(ended.status.success());
}

/// Returns a log line of an entry host with a prefix added by a log collector.
fn log_line(ms: u64, host: &str, message: &str, fields: Value) -> String {
    let line = json!({"time_us": ms * 1_000, "level": "INFO", "target": "t", "host": host,
        "failure_domain": "a", "incarnation": 1, "message": message, "fields": fields});
    format!("  1.234 {host} {line}\n")
}

#[test]
fn explain_log_finds_the_causes_of_three_failed_requests() {
    let log = [
        log_line(
            9_000,
            "e1",
            "configuration is in force",
            json!({"version": "7"}),
        ),
        log_line(
            10_000,
            "e1",
            "group is silent, its work moves away",
            json!({"head": "h1"}),
        ),
        log_line(
            10_020,
            "e2",
            "order sent",
            json!({"host": "h1", "order": "leave"}),
        ),
        log_line(
            10_100,
            "e1",
            "attempt failed",
            json!({"request": "midway", "host": "h1", "cause": "Silent"}),
        ),
        log_line(
            10_110,
            "e1",
            "request is answered by the entry host",
            json!({"request": "midway", "status": "502"}),
        ),
        log_line(
            10_200,
            "e1",
            "request is answered by the entry host",
            json!({"request": "refused", "status": "503", "reason": "none_serves"}),
        ),
        log_line(
            10_300,
            "e1",
            "attempt failed",
            json!({"request": "other", "host": "h9", "cause": "Silent"}),
        ),
        log_line(
            20_000,
            "e1",
            "stream begins",
            json!({"request": "late", "host": "h2", "first_ms": "900"}),
        ),
        log_line(
            19_000,
            "e1",
            "backend server reports",
            json!({"host": "h2", "group": "g/1/0/Open"}),
        ),
        "not a log line\n".to_owned(),
    ]
    .concat();
    let file = std::env::temp_dir().join(format!("geranium-explain-{}", std::process::id()));
    std::fs::write(&file, log).expect("the log can be written");
    let path = file.to_str().expect("the path is text");
    let tool = Tool::without_settings();

    let midway = tool
        .run(&["explain-log", path, "midway"])
        .expect_exit(0)
        .to_owned();
    let refused = tool
        .run(&["explain-log", path, "refused"])
        .expect_exit(0)
        .to_owned();
    let late = tool
        .run(&["explain-log", path, "late"])
        .expect_exit(0)
        .to_owned();
    let unknown = tool.run(&["explain-log", path, "nobody"]);

    assert!(
        midway.contains("group is silent") && midway.contains("order=leave"),
        "{midway}"
    );
    assert!(!midway.contains("request=other"), "{midway}");
    assert!(
        refused.contains("reason=none_serves") && refused.contains("version=7"),
        "{refused}"
    );
    assert!(
        late.contains("first_ms=900") && late.contains("g/1/0/Open"),
        "{late}"
    );
    unknown.expect_exit(6);
    std::fs::remove_file(&file).expect("the log can be removed");
}

/// Starts a server that answers one `/beliefs` request and returns its address. Without
/// `room` it answers as older versions do.
fn start_entry_host_for_one_request(room: Option<Value>) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("address is known");
    let mut view = json!({"entry_host": "front-1", "manager": "front-2", "directory_age_ms": 120, "version": 7,
        "cut_off_ms": 1500, "limited_servers": 2,
        "routes": [{"matches": "shop.example/chat/", "kind": "stream, resumable", "targets": "llm:1",
                    "timeout_ms": 8000, "attempts": 2, "priority": 1, "public": false}],
        "groups": [{"model": "m", "group": "g-1", "state": "open", "head": "i-1", "fabric_domain": "f"}],
        "services": [{"service": "llm", "ready": 4, "leaving": 1, "cold": 0}]});
    if let Some(room) = room {
        view["room"] = room;
    }
    let view = view.to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the tool connects");
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).expect("a request arrives");
        assert!(buf[..read].starts_with(b"GET /beliefs "));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", view.len());
        let answer = format!("{head}{view}");
        stream.write_all(answer.as_bytes()).expect("the tool reads");
    });
    address
}

#[test]
fn beliefs_command_prints_routes_groups_and_services() {
    let address = start_entry_host_for_one_request(None).to_string();
    let tool = Tool::without_settings();

    let shown = tool.run(&["beliefs", &address]).expect_exit(0).to_owned();
    let malformed = tool.run(&["beliefs", "front-1"]);

    for part in [
        "front-1: version 7, manager front-2",
        "reaches no backend server for 1500 ms",
        "2 backend servers name a limit",
        "stream, resumable",
        "8000 ms",
        "g-1",
        "open",
    ] {
        assert!(shown.contains(part), "{part:?} is missing in\n{shown}");
    }
    assert!(
        malformed.err.contains("\"front-1\" is not valid"),
        "{malformed:?}"
    );
}

/// Guards against a table that lacks the load or mixes it up with the number of slots.
#[test]
fn room_command_prints_requests_and_slots_by_model() {
    let room = json!([{"service": "llm", "model": "m", "failure_domain": "domain-a", "groups": 3,
        "running": 77, "slots": 102, "full_groups": 1}]);
    let address = start_entry_host_for_one_request(Some(room)).to_string();
    let tool = Tool::without_settings();

    let shown = tool.run(&["room", &address]).expect_exit(0).to_owned();

    for part in ["domain-a", "77", "102"] {
        assert!(shown.contains(part), "{part:?} is missing in\n{shown}");
    }
}

/// Guards against an empty table that looks as if no model had a group, while the entry host
/// merely does not state its room.
#[test]
fn room_command_fails_if_the_entry_host_is_too_old() {
    let address = start_entry_host_for_one_request(None).to_string();
    let tool = Tool::without_settings();

    let run = tool.run(&["room", &address]);

    run.expect_exit(1);
    assert!(
        run.err
            .contains("the entry host is too old to state its room"),
        "{run:?}"
    );
}
