//! Why a request ended as it did, from log lines alone.

use std::collections::{BTreeMap, BTreeSet};

use geranium_core::time::Timestamp;
use serde::Deserialize;

use crate::time_of_day;

/// Time before the request's first line in which beliefs may have led to its end,
/// in microseconds.
const BEFORE_US: u64 = 4_000_000;
/// Time after its last line in which the cause may have become known.
const AFTER_US: u64 = 4_000_000;
/// Fields that name a backend server.
const HOST_FIELDS: &[&str] = &["host", "from", "to", "head"];
/// Messages on what a process believes as a whole.
const GENERAL: &[&str] = &[
    "configuration is in force",
    "entry host leaves",
    "entry host starts",
    "failure domain is back in service",
    "failure domain is out of service",
    "manager of the groups changed",
    "readiness changed",
    "store answers again",
    "store call failed",
];

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct LogLine {
    time_us: u64,
    host: String,
    message: String,
    #[serde(default)]
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns whether a field holds exactly this text.
    fn names(&self, id: &str) -> bool {
        self.fields.values().any(|v| v == id)
    }

    /// Returns whether the line tells of a backend server or its orders.
    fn tells_of(&self, hosts: &BTreeSet<&str>) -> bool {
        let mut named = HOST_FIELDS.iter().filter_map(|f| self.fields.get(*f));
        named.any(|v| hosts.contains(v.as_str()))
    }

    fn is_general(&self) -> bool {
        GENERAL.iter().any(|g| self.message.starts_with(g))
    }

    fn text(&self) -> String {
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

/// Returns the lines of a request, a host or a group in the logs of any number of
/// processes, with what the processes that had it believed of the backend servers
/// concerned; no lines if nothing names it.
///
/// Lines that are no log lines are passed over, and what a collector wrote before them.
#[must_use]
pub fn explain(logs: &str, id: &str) -> Vec<String> {
    let mut lines: Vec<LogLine> = logs.lines().filter_map(parse).collect();
    lines.sort_by_key(|l| l.time_us);
    let own: Vec<&LogLine> = lines.iter().filter(|l| l.names(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let window = first.time_us.saturating_sub(BEFORE_US)..=last.time_us + AFTER_US;
    let processes: BTreeSet<&str> = own.iter().map(|l| l.host.as_str()).collect();
    let hosts: BTreeSet<&str> = own
        .iter()
        .flat_map(|l| HOST_FIELDS.iter().filter_map(|f| l.fields.get(*f)))
        .map(String::as_str)
        .collect();
    let of_request = |l: &LogLine| l.fields.contains_key("request");
    let concerns = |l: &LogLine| {
        let believed =
            processes.contains(l.host.as_str()) && (l.is_general() || l.tells_of(&hosts));
        let ordered = l.message == "order sent" && l.tells_of(&hosts);
        l.names(id) || (!of_request(l) && (believed || ordered))
    };
    let shown = lines
        .iter()
        .filter(|l| window.contains(&l.time_us) && concerns(l));
    shown.map(LogLine::text).collect()
}

/// Reads a line; what a collector wrote before the object is passed over.
fn parse(line: &str) -> Option<LogLine> {
    let object = &line[line.find('{')?..];
    serde_json::from_str(object).ok()
}
