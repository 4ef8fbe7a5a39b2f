//! Endpoint that returns recorded events of this process.

use std::sync::Arc;

use geranium_core::event::EventKind;
use geranium_core::time::Timestamp;
use geranium_net::ApiError;
use geranium_telemetry::EventFilter;
use viz::{Request, Response, Result};

use super::query::{Query, bad_request};
use super::reply::json;
use crate::node::Node;

/// Maximum number of events in one answer.
const MAX_EVENTS: usize = 10_000;

/// Returns the events that match the query.
pub async fn events(node: Arc<Node>, req: Request) -> Result<Response> {
    let filter = parse_filter(&Query::parse(&req))?;
    Ok(json(&node.recorder.page(&filter, MAX_EVENTS))?)
}

fn parse_filter(query: &Query) -> std::result::Result<EventFilter, ApiError> {
    Ok(EventFilter {
        request: query.get("request")?,
        group: query.get("group")?,
        host: query.get("host")?,
        record: query.get("record")?,
        account: query.get("account")?,
        kind: query
            .get::<String>("kind")?
            .map(|text| parse_kind(&text))
            .transpose()?,
        since: query.get("since")?.map(Timestamp),
        after: query.get("after")?,
    })
}

fn parse_kind(text: &str) -> std::result::Result<EventKind, ApiError> {
    let found = EventKind::ALL.iter().find(|kind| kind.as_str() == text);
    found.copied().ok_or_else(|| {
        bad_request(
            "invalid_query",
            format!("event kind {text:?} does not exist"),
        )
    })
}
