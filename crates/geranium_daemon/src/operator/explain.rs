//! Endpoint that explains the state of a request, a group, a host or a record.

use std::sync::Arc;

use geranium_core::engine::HostEntry;
use geranium_core::id::{GroupId, HostId, RecordName, RequestId};
use geranium_net::ApiError;
use geranium_operator::Explanation;
use geranium_telemetry::{Event, EventFilter, time_of_day};
use viz::{Request, Response, Result};

use super::query::{bad_request, not_found, path_param};
use super::reply::json;
use crate::control::ControlView;
use crate::node::Node;

/// Maximum number of events in one explanation.
const MAX_EVENTS: usize = 12;

/// Explains a request, a group, a host or a record.
pub async fn explain(node: Arc<Node>, req: Request) -> Result<Response> {
    let (what, id) = (path_param(&req, "what"), path_param(&req, "id"));
    let view = node.published.view();
    let explanation = match what.as_str() {
        "request" => explain_request(&node, &parse_id(&id)?),
        "group" => explain_group(&node, &view, &parse_id(&id)?),
        "host" => explain_host(&node, &view, &parse_id(&id)?),
        "record" => explain_record(&node, &view, &parse_id(&id)?),
        _ => {
            let message =
                format!("cannot explain {what:?}: expected request, group, host or record");
            return Err(bad_request("invalid_path", message).into());
        }
    };
    if explanation.lines.is_empty() {
        return Err(not_found(format!("{what} {id} is not known to this host")).into());
    }
    Ok(json(&explanation)?)
}

fn parse_id<T: std::str::FromStr>(id: &str) -> std::result::Result<T, ApiError>
where
    T::Err: std::fmt::Display,
{
    id.parse()
        .map_err(|e: T::Err| bad_request("invalid_path", e.to_string()))
}

fn explain_request(node: &Node, id: &RequestId) -> Explanation {
    let filter = EventFilter {
        request: Some(id.clone()),
        ..EventFilter::default()
    };
    Explanation {
        lines: event_lines(node, &filter),
        would_change: Vec::new(),
    }
}

fn explain_group(node: &Node, view: &ControlView, id: &GroupId) -> Explanation {
    let mut explanation = Explanation::default();
    if let Some(group) = view.group(id) {
        let members: Vec<&str> = group.members.iter().map(|m| m.host.as_str()).collect();
        explanation.lines.push(format!(
            "group {id} serves record {} on {} in {}, fencing number {}",
            group.record,
            members.join(", "),
            group.fabric_domain,
            group.fencing
        ));
        match view.closed_reasons.get(id) {
            Some(why) => {
                explanation
                    .lines
                    .push(format!("it takes no requests: {why}"));
                explanation
                    .would_change
                    .push(format!("the end of this: {why}"));
            }
            None => explanation.lines.push("it takes requests".to_owned()),
        }
    }
    let filter = EventFilter {
        group: Some(id.clone()),
        ..EventFilter::default()
    };
    explanation.lines.extend(event_lines(node, &filter));
    explanation
}

fn explain_host(node: &Node, view: &ControlView, id: &HostId) -> Explanation {
    let mut explanation = Explanation::default();
    // The group tables of other failure domains are unknown to this host.
    let domain = &node.settings.failure_domain;
    let is_local = |host: &&HostEntry| host.host == *id && host.failure_domain == *domain;
    if let Some(host) = view.hosts.iter().find(is_local) {
        explanation.lines.push(format!(
            "host {id} is listed as {:?} in {}, {}, with {} accelerators",
            host.state, host.failure_domain, host.fabric_domain, host.accelerators
        ));
        let group = view.table.as_ref().and_then(|table| table.group_of(id));
        match group {
            Some((group, _)) => explanation
                .lines
                .push(format!("it is a member of group {group}")),
            None => {
                explanation.lines.push("it is in no group".to_owned());
                let change = "a record that asks for more replicas, or a member to replace";
                explanation.would_change.push(change.to_owned());
            }
        }
    }
    if let Some(seen) = view.reports.get(id) {
        let report = &seen.report;
        explanation.lines.push(format!(
            "it last reported {:?} as incarnation {}",
            report.phase, report.incarnation
        ));
    }
    let filter = EventFilter {
        host: Some(id.clone()),
        ..EventFilter::default()
    };
    explanation.lines.extend(event_lines(node, &filter));
    explanation
}

fn explain_record(node: &Node, view: &ControlView, id: &RecordName) -> Explanation {
    let mut explanation = Explanation::default();
    for entry in view
        .records
        .iter()
        .filter(|entry| entry.stored.key.name == *id)
    {
        let stored = &entry.stored;
        explanation.lines.push(format!(
            "{} is at generation {}, {} by {}",
            stored.key,
            stored.generation(),
            if stored.is_deleted() {
                "deleted"
            } else {
                "written"
            },
            stored.change.operator
        ));
    }
    let filter = EventFilter {
        record: Some(id.clone()),
        ..EventFilter::default()
    };
    explanation.lines.extend(event_lines(node, &filter));
    explanation
}

fn event_lines(node: &Node, filter: &EventFilter) -> Vec<String> {
    let page = node.recorder.page(filter, MAX_EVENTS);
    page.events.iter().map(event_line).collect()
}

fn event_line(event: &Event) -> String {
    let cause = event
        .cause
        .as_ref()
        .map_or_else(String::new, |cause| format!(" (after {cause})"));
    format!(
        "{} {} on {}: {}{cause}",
        time_of_day(event.wall),
        event.kind,
        event.id.host,
        event.reason
    )
}
