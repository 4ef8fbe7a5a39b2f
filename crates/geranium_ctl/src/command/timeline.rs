//! Shows the merged timeline of all entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use geranium_core::event::EventSubject;
use geranium_core::id::{AccountId, GroupId, HostId, Incarnation, RecordName, RequestId};
use geranium_core::time::Timestamp;
use geranium_telemetry::{Event, merge_events, time_of_day};
use serde::Serialize;

use super::session::Session;
use super::status::operator_addresses;
use crate::cli::TimelineFilter;
use crate::ctl_error::CtlError;
use crate::exit::Exit;
use crate::output::{print_json, print_json_lines};
use crate::timeline_svg;

/// Poll interval of `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Newest printed sequence number of each process.
type NewestSequences = BTreeMap<(HostId, Incarnation), u64>;

/// Events of all entry hosts in causal order.
#[derive(Default, Serialize)]
struct Timeline {
    events: Vec<Event>,
    dropped: u64,
    unreached: Vec<SocketAddr>,
}

impl Timeline {
    /// Returns a line for each reason why the events are incomplete.
    fn gaps(&self) -> Vec<String> {
        let unreached = self.unreached.iter();
        let mut lines: Vec<String> = unreached.map(|a| format!("not reached: {a}")).collect();
        if self.dropped > 0 {
            lines.push(format!("{} older events are no longer kept", self.dropped));
        }
        lines
    }
}

/// Merges and prints events.
pub async fn run(session: &Session<'_>, filter: &TimelineFilter) -> Result<Exit, CtlError> {
    let first = session
        .call_first_reachable(|host| session.client.status(host))
        .await?;
    let addresses = operator_addresses(session, &first);
    let query = render_query(filter);
    let timeline = collect(session, &addresses, &query).await;
    if let Some(path) = &session.invocation.svg {
        timeline_svg::write(path, &timeline.events)?;
    }
    if session.invocation.follow {
        for gap in timeline.gaps() {
            eprintln!("{gap}");
        }
        return follow(session, &addresses, &query, timeline.events).await;
    }
    if session.invocation.json {
        print_json(&timeline)?;
    } else {
        print_events(&timeline.events);
        for gap in timeline.gaps() {
            out!("{gap}");
        }
    }
    Ok(Exit::Done)
}

async fn collect(session: &Session<'_>, addresses: &[SocketAddr], query: &str) -> Timeline {
    let mut timeline = Timeline::default();
    let mut pages = Vec::new();
    for &address in addresses {
        match session.client.events(address, query).await {
            Ok(page) => {
                timeline.dropped += page.dropped;
                pages.push(page.events);
            }
            Err(_) => timeline.unreached.push(address),
        }
    }
    timeline.events = merge_events(pages);
    timeline
}

/// Prints new events as they arrive, with `--json` as one object per line, until the
/// process is stopped or the output cannot be rendered.
async fn follow(
    session: &Session<'_>,
    addresses: &[SocketAddr],
    query: &str,
    mut new_events: Vec<Event>,
) -> Result<Exit, CtlError> {
    let mut newest = NewestSequences::new();
    loop {
        if session.invocation.json {
            print_json_lines(&new_events)?;
        } else {
            print_events(&new_events);
        }
        record_newest(&mut newest, &new_events);
        tokio::time::sleep(FOLLOW_INTERVAL).await;
        new_events = collect(session, addresses, query).await.events;
        new_events.retain(|event| is_new(&newest, event));
    }
}

fn is_new(newest: &NewestSequences, event: &Event) -> bool {
    let process = (event.id.host.clone(), event.id.incarnation);
    newest
        .get(&process)
        .is_none_or(|seen| event.id.sequence > *seen)
}

fn record_newest(newest: &mut NewestSequences, events: &[Event]) {
    for event in events {
        let process = (event.id.host.clone(), event.id.incarnation);
        newest.insert(process, event.id.sequence);
    }
}

fn print_events(events: &[Event]) {
    for event in events {
        out!(
            "{} {:<14} {:<18} {}{}",
            time_of_day(event.time.wall),
            event.id.host.as_str(),
            event.kind.as_str(),
            event.reason,
            render_subject(&event.subject)
        );
    }
}

/// Formats the subject of an event with the names that the filters use.
fn render_subject(subject: &EventSubject) -> String {
    let ids = [
        ("request", subject.request.as_ref().map(RequestId::as_str)),
        ("group", subject.group.as_ref().map(GroupId::as_str)),
        ("host", subject.host.as_ref().map(HostId::as_str)),
        ("record", subject.record.as_ref().map(RecordName::as_str)),
        ("account", subject.account.as_ref().map(AccountId::as_str)),
    ];
    let known = ids.into_iter().filter_map(|(name, id)| Some((name, id?)));
    let words: Vec<String> = known.map(|(name, id)| format!("{name}={id}")).collect();
    if words.is_empty() {
        return String::new();
    }
    format!(" [{}]", words.join(" "))
}

fn render_query(filter: &TimelineFilter) -> String {
    let mut pairs: Vec<String> = filter
        .pairs
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    if let Some(since) = filter.since {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let start = (Timestamp::default() + elapsed) - since;
        pairs.push(format!("since={}", start.0));
    }
    pairs.join("&")
}
