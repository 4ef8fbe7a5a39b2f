//! Tests of reading settings and of the errors that are reported.

use geranium_settings::{SettingFault, SettingSpec, SettingsReader, render_help};

const PORT: SettingSpec = SettingSpec::new("--port", "0 to 65535", "Port.");
const LIMIT: SettingSpec = SettingSpec::new("--limit", "NUMBER", "Limit.").default_value("7");
const TOKEN: SettingSpec = SettingSpec::new("--token", "NUMBER", "Token.").secret();
const NAMES: SettingSpec = SettingSpec::new("--names", "LIST", "Names.");

fn args(words: &[&str]) -> Vec<std::ffi::OsString> {
    words.iter().map(Into::into).collect()
}

#[test]
fn flag_wins_over_variable_and_variable_over_default() {
    let env = |name: &str| (name == "GERANIUM_LIMIT").then(|| "8".to_owned());
    let mut from_flag = SettingsReader::new(args(&["--limit=9"]), env);
    let mut from_env = SettingsReader::new(args(&[]), env);
    let mut from_default = SettingsReader::new(args(&[]), |_: &str| None);

    assert_eq!(from_flag.required::<u32>(&LIMIT), Some(9));
    assert_eq!(from_env.required::<u32>(&LIMIT), Some(8));
    assert_eq!(from_default.required::<u32>(&LIMIT), Some(7));
}

#[test]
fn all_faults_are_reported_together_and_secrets_are_redacted() {
    let words = args(&["--port", "70000", "--token", "hunter2", "stray"]);
    let mut reader = SettingsReader::new(words, |_: &str| None);

    let port = reader.required::<u16>(&PORT);
    let token = reader.required::<u32>(&TOKEN);
    let names = reader.required::<String>(&NAMES);
    let err = reader.finish().expect_err("four faults");

    assert_eq!((port, token, names), (None, None, None));
    assert_eq!(err.faults.len(), 4);
    assert!(
        matches!(&err.faults[0], SettingFault::Invalid(flag, value, ..)
        if flag == "--port" && value == "70000")
    );
    assert!(!err.to_string().contains("hunter2"));
    assert!(
        matches!(&err.faults[2], SettingFault::Missing(flag, variable, _)
        if flag == "--names" && variable == "GERANIUM_NAMES")
    );
    assert_eq!(err.faults[3], SettingFault::Unexpected("stray".into()));
}

#[test]
fn list_keeps_valid_values_and_reports_invalid_ones() {
    let mut reader = SettingsReader::new(args(&["--names", "1, x,3"]), |_: &str| None);

    let numbers: Vec<u32> = reader.list(&NAMES);

    assert_eq!(numbers, vec![1, 3]);
    assert_eq!(reader.finish().expect_err("one fault").faults.len(), 1);
}

#[test]
fn help_names_flag_variable_and_default() {
    let help = render_help(&[LIMIT]);

    assert!(help.contains("--limit NUMBER"));
    assert!(help.contains("GERANIUM_LIMIT; default 7"));
}

#[test]
fn required_list_reports_one_fault_if_missing_or_invalid() {
    for (words, fault) in [
        (&[][..], "--names (or GERANIUM_NAMES) is missing"),
        (&["--names", ","], "--names (or GERANIUM_NAMES) is missing"),
        (&["--names", "x"], "--names has the value \"x\""),
    ] {
        let mut reader = SettingsReader::new(args(words), |_: &str| None);

        let numbers: Vec<u32> = reader.required_list(&NAMES);
        let err = reader.finish().expect_err("one fault");

        assert!(numbers.is_empty());
        assert_eq!(err.faults.len(), 1, "{err}");
        assert!(err.to_string().starts_with(fault), "{err}");
    }
}
