//! The command line of the stand-ins.

use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command as Process, Stdio};
use std::time::Duration;

use geranium_fakes::EngineConfig;
use geranium_fakes::cli::{CliError, Command, parse};
use geranium_platform::prelude::*;

/// Ends the process that the test started, also when the test fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn parse_line(line: &str) -> Result<Command, CliError> {
    parse(line.split_whitespace().map(OsString::from).collect())
}

fn engine(line: &str) -> EngineConfig {
    match parse_line(line) {
        Ok(Command::Engine(cfg)) => *cfg,
        other => panic!("no engine: {other:?}"),
    }
}

#[test]
fn flags_of_an_engine_change_its_settings() {
    let cfg = engine(
        "engine --host lima-1-a --listen 127.0.0.1:7001 --checks-fencing false \
         --load-millis=250 --token-micros 50 --crash-marker boom",
    );

    assert_eq!(cfg.host.as_str(), "lima-1-a");
    assert_eq!(cfg.listen.to_string(), "127.0.0.1:7001");
    assert!(!cfg.checks_fencing);
    assert_eq!(cfg.load_time, Duration::from_millis(250));
    assert_eq!(cfg.token_time, Duration::from_micros(50));
    assert_eq!(cfg.crash_marker.as_deref(), Some("boom"));
}

#[test]
fn a_platform_takes_several_addresses() {
    let line = "platform --listen 127.0.0.1:1 --listen 127.0.0.1:2 --max-writes-per-second 300";
    let Ok(Command::Platform(args)) = parse_line(line) else {
        panic!("no platform");
    };

    assert_eq!(args.cfg.listen.port(), 1);
    assert_eq!(args.cfg.more_listen.len(), 1);
    assert_eq!(args.cfg.max_writes_per_second, Some(300));
}

#[test]
fn what_is_not_known_or_missing_is_an_error() {
    let command = parse_line("database");
    let argument = parse_line("service --port 1");
    let host = parse_line("engine");
    let value = parse_line("engine --host a --load-millis soon");

    assert!(matches!(command, Err(CliError::UnknownCommand(name)) if name == "database"));
    assert!(matches!(argument, Err(CliError::UnknownArgument(text)) if text == "--port"));
    assert!(matches!(host, Err(CliError::Flag(_))));
    assert!(matches!(value, Err(CliError::Flag(_))));
}

#[tokio::test]
async fn a_platform_process_serves_the_keys_of_its_seed_file() {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let seed = dir.join("cli_seed.json");
    std::fs::write(&seed, r#"{"/text": "plain", "/json": {"a": 1}}"#).expect("writable");
    let mut process = Process::new(env!("CARGO_BIN_EXE_geranium-fakes"))
        .arg("platform")
        .arg("--seed-file")
        .arg(&seed)
        .stdout(Stdio::piped())
        .spawn()
        .expect("started");
    let out = process.stdout.take().expect("piped");
    let _process = KillOnDrop(process);
    let mut line = String::new();
    BufReader::new(out).read_line(&mut line).expect("readable");

    let address = line.split_whitespace().nth(1).expect("an address");
    let address = address.parse().expect("an address");
    let store = EtcdClient::new(EtcdConfig::new(vec![address]));
    let read = store.range("/").await.expect("readable");

    let values: Vec<_> = read
        .values
        .iter()
        .map(|v| (&*v.key, &v.value[..]))
        .collect();
    assert_eq!(values, [("/json", &br#"{"a":1}"#[..]), ("/text", b"plain")]);
}
