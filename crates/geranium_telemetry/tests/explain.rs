//! Explanations of requests from log lines.

use std::time::Duration;

use geranium_telemetry::explain;

/// Creates a log line of an entry host.
fn line(at: Duration, host: &str, message: &str, fields: &[(&str, &str)]) -> String {
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!(r#""{name}":"{value}""#))
        .collect();
    format!(
        r#"{{"time_us":{},"host":"{host}","message":"{message}","fields":{{{}}}}}"#,
        at.as_micros(),
        fields.join(",")
    )
}

#[test]
fn a_refused_request_is_explained_by_the_earlier_judgement_of_its_prompt_part() {
    let changed = "refusal of a crash subject changed";
    let logs = [
        line(
            Duration::from_secs(10),
            "e1",
            changed,
            &[("subject", "part-7")],
        ),
        line(
            Duration::from_secs(11),
            "e1",
            changed,
            &[("subject", "part-8")],
        ),
        line(
            Duration::from_secs(11),
            "e2",
            changed,
            &[("subject", "part-7")],
        ),
        line(
            Duration::from_secs(90),
            "e1",
            "request would crash a backend server",
            &[("request", "r1"), ("subject", "part-7")],
        ),
    ];

    let lines = explain(&logs.join("\n"), "r1");

    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains(changed));
    assert!(lines[0].contains("e1"));
}

#[test]
fn a_request_is_explained_by_a_restore_of_the_store_around_it() {
    let restored = "store has returned from an older copy";
    let logs = [
        line(Duration::from_secs(10), "e1", restored, &[("era", "2")]),
        line(Duration::from_secs(98), "e1", restored, &[("era", "3")]),
        line(
            Duration::from_secs(100),
            "e1",
            "request is answered by the entry host",
            &[("request", "r1")],
        ),
    ];

    let lines = explain(&logs.join("\n"), "r1");

    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains("era=3"));
}
