//! Tests the settings of the daemon, as read in this process and by `geraniumd`.

use std::process::{Command, Output};

use geranium_daemon::settings::{DaemonCommand, DaemonSettings, SPECS, help};
use geranium_settings::SettingsError;

/// Path of the daemon that these tests start.
const GERANIUMD: &str = env!("CARGO_BIN_EXE_geraniumd");

/// Valid values of the settings that have no default.
const VALID: [(&str, &str); 8] = [
    ("--host", "lima-1-e0"),
    ("--failure-domain", "lima-1"),
    ("--caller-address", "127.0.0.1:7001"),
    ("--operator-address", "127.0.0.1:7002"),
    ("--peer-address", "127.0.0.1:7003"),
    ("--platform", "127.0.0.1:7004, 127.0.0.1:7005"),
    ("--operator-token", "operator-token-16"),
    ("--peer-token", "peer-token-of-16-b"),
];

/// One invalid value of each setting.
const INVALID: [(&str, &str); 18] = [
    ("--host", "lima 1"),
    ("--failure-domain", ""),
    ("--caller-address", "localhost:7001"),
    ("--operator-address", "0.0.0.0:7002"),
    ("--peer-address", "127.0.0.1"),
    ("--peers", "odd"),
    ("--platform", "127.0.0.1:99999"),
    ("--operator-token", "15-bytes-secret"),
    ("--peer-token", "short-secret"),
    ("--log-level", "loud"),
    ("--event-capacity", "0"),
    ("--report-interval-ms", "49"),
    ("--default-deadline-ms", "3600001"),
    ("--max-body-bytes", "1023"),
    ("--response-memory-bytes", "1048575"),
    ("--max-connections", "-1"),
    ("--shutdown-timeout-ms", "soon"),
    ("--max-loads", "1001"),
];

fn arguments(settings: &[(&str, &str)]) -> Vec<String> {
    settings
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()])
        .collect()
}

fn valid_with(flag: &str, value: &str) -> Vec<String> {
    let mut settings = VALID.to_vec();
    settings.retain(|(name, _)| *name != flag);
    settings.push((flag, value));
    arguments(&settings)
}

fn read(arguments: Vec<String>) -> Result<DaemonCommand, SettingsError> {
    DaemonCommand::read(arguments.into_iter().map(Into::into).collect(), |_| None)
}

fn settings(arguments: Vec<String>) -> DaemonSettings {
    match read(arguments) {
        Ok(DaemonCommand::Run(settings)) => *settings,
        Ok(_) => panic!("the arguments gave another command"),
        Err(e) => panic!("{e}"),
    }
}

fn faults(arguments: Vec<String>) -> SettingsError {
    match read(arguments) {
        Ok(_) => panic!("the settings were accepted"),
        Err(e) => e,
    }
}

fn run(arguments: &[String], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(GERANIUMD);
    command
        .env_clear()
        .envs(env.iter().copied())
        .args(arguments);
    command.output().expect("geraniumd runs")
}

#[test]
fn valid_settings_are_read_with_their_defaults() {
    let read = settings(arguments(&VALID));

    assert_eq!(read.host.as_str(), "lima-1-e0");
    assert_eq!(read.platform.len(), 2);
    assert!(read.peers.is_empty());
    assert_eq!(read.log_level, log::LevelFilter::Info);
    assert_eq!(read.event_capacity, 8_192);
    assert_eq!(read.max_loads, 16);
}

#[test]
fn every_setting_rejects_a_bad_value_with_its_name_and_the_valid_values() {
    for spec in SPECS {
        let found = INVALID.iter().find(|(flag, _)| *flag == spec.flag);
        let (flag, value) =
            found.unwrap_or_else(|| panic!("{} has no invalid value in INVALID", spec.flag));

        let err = faults(valid_with(flag, value));

        assert_eq!(err.faults.len(), 1, "{flag}: {err}");
        let text = err.to_string();
        assert!(text.starts_with(flag), "{text}");
        assert!(
            text.contains(&format!("valid: {}", spec.value_hint)),
            "{text}"
        );
        assert_eq!(
            text.contains(value),
            !spec.secret || value.is_empty(),
            "{text}"
        );
    }
}

#[test]
fn bounds_of_a_range_are_valid() {
    for (flag, min, max) in [
        ("--event-capacity", "1", "1000000"),
        ("--report-interval-ms", "50", "5000"),
        ("--default-deadline-ms", "1", "3600000"),
        ("--max-body-bytes", "1024", "67108864"),
        ("--response-memory-bytes", "1048576", "68719476736"),
        ("--max-connections", "1", "100000"),
        ("--shutdown-timeout-ms", "1", "3600000"),
        ("--max-loads", "1", "1000"),
    ] {
        settings(valid_with(flag, min));
        settings(valid_with(flag, max));
    }
}

#[test]
fn listeners_must_differ() {
    let err = faults(valid_with("--peer-address", "127.0.0.1:7001"));

    assert!(err.to_string().contains("must differ"), "{err}");
}

#[test]
fn process_reports_every_fault_at_once_without_secrets() {
    let refused: Vec<_> = INVALID
        .iter()
        .filter(|(_, v)| !v.is_empty())
        .copied()
        .collect();

    let output = run(&arguments(&refused), &[("GERANIUM_FAILURE_DOMAIN", "a b")]);

    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for (flag, value) in &refused {
        assert!(text.contains(flag), "{flag} is not in {text}");
        let secret = flag.ends_with("-token");
        assert_eq!(text.contains(value), !secret, "{flag} in {text}");
    }
    assert!(
        text.contains("--failure-domain has the value \"a b\""),
        "{text}"
    );
}

#[test]
fn process_without_settings_names_each_missing_setting_and_its_variable() {
    let output = run(&[], &[]);

    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for (flag, _) in VALID {
        assert!(text.contains(flag), "{flag} is not in {text}");
    }
    assert!(text.contains("GERANIUM_CALLER_ADDRESS"), "{text}");
}

#[test]
fn check_flag_validates_settings_without_starting() {
    let mut valid = arguments(&VALID);
    valid.push("--check".to_owned());
    let mut invalid = valid_with("--max-loads", "0");
    invalid.push("--check".to_owned());
    let from_env: Vec<(String, &str)> = SPECS
        .iter()
        .filter_map(|s| Some((s.variable(), VALID.iter().find(|(f, _)| *f == s.flag)?.1)))
        .collect();
    let from_env: Vec<(&str, &str)> = from_env.iter().map(|(n, v)| (n.as_str(), *v)).collect();

    let by_flags = run(&valid, &[]);
    let by_variables = run(&["--check".to_owned()], &from_env);
    let refused = run(&invalid, &[]);

    assert_eq!(by_flags.status.code(), Some(0));
    assert_eq!(by_flags.stdout, b"settings are valid\n");
    assert_eq!(by_variables.status.code(), Some(0));
    assert_eq!(refused.status.code(), Some(2));
}

#[test]
fn help_names_every_setting_and_no_value_of_a_secret() {
    let env = [("GERANIUM_OPERATOR_TOKEN", "operator-token-16")];

    let output = run(&["--help".to_owned()], &env);
    let version = run(&["--version".to_owned()], &[]);

    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(text, help());
    for spec in SPECS {
        assert!(text.contains(spec.flag) && text.contains(&spec.variable()));
    }
    assert!(!text.contains("operator-token-16"));
    let expected = format!("geraniumd {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8_lossy(&version.stdout), expected);
}
