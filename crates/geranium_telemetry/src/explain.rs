//! Reconstructs the outcome of a request from log lines alone.

use std::collections::{BTreeMap, BTreeSet};

use geranium_core::time::Timestamp;
use serde::Deserialize;

use crate::time_of_day;

/// How far before the first matching line a state change may have affected the outcome,
/// in microseconds.
const WINDOW_BEFORE_US: u64 = 4_000_000;
/// How far after the last matching line its cause may still be logged, in microseconds.
const WINDOW_AFTER_US: u64 = 4_000_000;
/// Log fields that hold the identifier of a backend server.
const BACKEND_SERVER_FIELDS: &[&str] = &["host", "from", "to", "head"];
/// Prefixes of messages about the state of a whole process, not of one request or host.
const PROCESS_WIDE_MESSAGES: &[&str] = &[
    "configuration is in force",
    "entry host leaves",
    "entry host starts",
    "failure domain is back in service",
    "failure domain is out of service",
    "manager of the groups changed",
    "readiness changed",
    "store answers again",
    "store call failed",
    "store has returned from an older copy",
];
/// Log field that holds what a decision of any age was about, such as a refused prompt part.
const SUBJECT_FIELD: &str = "subject";

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct LogLine {
    time_us: u64,
    host: String,
    message: String,
    #[serde(default)]
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns whether the value of any field equals `id`.
    fn has_value(&self, id: &str) -> bool {
        self.fields.values().any(|v| v == id)
    }

    /// Returns whether the line refers to one of these backend servers.
    fn mentions_any(&self, hosts: &BTreeSet<&str>) -> bool {
        let mut values = BACKEND_SERVER_FIELDS
            .iter()
            .filter_map(|f| self.fields.get(*f));
        values.any(|v| hosts.contains(v.as_str()))
    }

    fn subject(&self) -> Option<&str> {
        self.fields.get(SUBJECT_FIELD).map(String::as_str)
    }

    fn is_process_wide(&self) -> bool {
        PROCESS_WIDE_MESSAGES
            .iter()
            .any(|g| self.message.starts_with(g))
    }

    fn render(&self) -> String {
        let time = time_of_day(Timestamp(self.time_us));
        let fields: Vec<String> = self
            .fields
            .iter()
            .map(|(k, v)| format!("{k}={v}"))
            .collect();
        format!(
            "{time} {} {}  {}",
            self.host,
            self.message,
            fields.join(" ")
        )
    }
}

/// Finds the log lines of a request, a host or a group in the merged logs of any number
/// of processes, sorted by time.
///
/// The result also includes what the processes involved logged about their own state and
/// about the backend servers involved around that time, and what they decided at any time
/// about a subject that a line with `id` names. It is empty if no line contains `id`.
///
/// Input that is not a log line is ignored, as is any prefix that a log collector added
/// to a line.
#[must_use]
pub fn explain(logs: &str, id: &str) -> Vec<String> {
    let mut lines: Vec<LogLine> = logs.lines().filter_map(parse).collect();
    lines.sort_by_key(|l| l.time_us);
    let matching: Vec<&LogLine> = lines.iter().filter(|l| l.has_value(id)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        return Vec::new();
    };
    let window = first.time_us.saturating_sub(WINDOW_BEFORE_US)..=last.time_us + WINDOW_AFTER_US;
    let processes: BTreeSet<&str> = matching.iter().map(|l| l.host.as_str()).collect();
    let hosts: BTreeSet<&str> = matching
        .iter()
        .flat_map(|l| {
            BACKEND_SERVER_FIELDS
                .iter()
                .filter_map(|f| l.fields.get(*f))
        })
        .map(String::as_str)
        .collect();
    let subjects: BTreeSet<&str> = matching.iter().filter_map(|l| l.subject()).collect();
    let is_request_line = |l: &LogLine| l.fields.contains_key("request");
    let is_relevant = |l: &LogLine| {
        let process_state =
            processes.contains(l.host.as_str()) && (l.is_process_wide() || l.mentions_any(&hosts));
        let order_to_host = l.message == "order sent" && l.mentions_any(&hosts);
        l.has_value(id) || (!is_request_line(l) && (process_state || order_to_host))
    };
    let decided_earlier = |l: &LogLine| {
        let same_subject = l.subject().is_some_and(|s| subjects.contains(s));
        same_subject && !is_request_line(l) && processes.contains(l.host.as_str())
    };
    let relevant = lines
        .iter()
        .filter(|l| (window.contains(&l.time_us) && is_relevant(l)) || decided_earlier(l));
    relevant.map(LogLine::render).collect()
}

/// Parses a log line and ignores any prefix that a log collector added.
fn parse(line: &str) -> Option<LogLine> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}
