//! Opens the stream of a completion at one group.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::group::Temperature;
use geranium_core::limit::ColdSettings;
use geranium_core::route::{RouteChoice, RoutePath};
use geranium_core::time::Timestamp;
use geranium_engine::{
    CompletionRequest, CompletionStream, DEADLINE_HEADER, EngineApi, EngineError, REQUEST_HEADER,
    Resume,
};
use geranium_net::{ApiError, ClientError, HttpRequest, read_response_body};

use super::RelayRequest;
use crate::caller::{ACCOUNT_HEADER, FORWARD_PATH, PEER_TOKEN_HEADER};
use crate::node::Node;

/// Timeout for another entry host to accept a forwarded completion.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a stream event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Maximum size of an error response body, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// Opens the stream of one attempt.
///
/// # Errors
///
/// Returns an error if the group did not accept the completion.
pub async fn open(
    node: &Node,
    now: Timestamp,
    req: &RelayRequest,
    choice: &RouteChoice,
    resume: Option<Resume>,
) -> Result<CompletionStream, EngineError> {
    let completion = CompletionRequest {
        request: req.request.clone(),
        group: choice.group.clone(),
        fencing: choice.fencing,
        priority: req.priority,
        remaining: time_limit(now, req, choice),
        body: req.body.clone(),
        resume,
    };
    match &choice.path {
        RoutePath::Direct => {
            node.engines
                .stream_completion(choice.address, &completion)
                .await
        }
        RoutePath::Through(host) => match node.caller_address(host) {
            Some(address) => forward(node, address, req, &completion).await,
            None => {
                let detail = format!("entry host {host} has no known address");
                Err(EngineError::NotSent(ClientError::InvalidRequest(detail)))
            }
        },
    }
}

/// Returns the time limit for the group. For a cold group it is capped at the run
/// time that the cold budget holder assumes.
fn time_limit(now: Timestamp, req: &RelayRequest, choice: &RouteChoice) -> Duration {
    let remaining = req.deadline.since(now);
    match choice.temperature {
        Temperature::Cold => remaining.min(ColdSettings::default().run_limit),
        Temperature::Warm => remaining,
    }
}

/// Forwards the completion to an entry host of the group's failure domain.
async fn forward(
    node: &Node,
    address: SocketAddr,
    req: &RelayRequest,
    completion: &CompletionRequest,
) -> Result<CompletionStream, EngineError> {
    let body = completion.body_with_resume()?;
    let remaining = completion.remaining.as_millis().to_string();
    let http = HttpRequest::post(address, FORWARD_PATH)
        .body(body)
        .header_text("content-type", "application/json")
        .and_then(|r| r.header_text(PEER_TOKEN_HEADER, &node.settings.peer_token))
        .and_then(|r| r.header_text(ACCOUNT_HEADER, req.account.as_str()))
        .and_then(|r| r.header_text(REQUEST_HEADER, req.request.as_str()))
        .and_then(|r| r.header_text(DEADLINE_HEADER, &remaining))
        .map_err(EngineError::from_client)?;
    let limit = ACCEPT_TIMEOUT.min(completion.remaining);
    let res = node
        .http
        .send(http, limit)
        .await
        .map_err(EngineError::from_client)?;
    let status = res.status();
    if status.is_success() {
        return Ok(CompletionStream::new(
            address,
            res.into_body(),
            MAX_EVENT_BYTES,
            &node.response_memory,
        ));
    }
    let body = read_response_body(
        address,
        res.into_body(),
        MAX_ERROR_BODY_BYTES,
        &node.response_memory,
    )
    .await
    .unwrap_or_default();
    let refusal = ApiError::parse(status, &body);
    let (kind, message) = refusal.map_or_else(Default::default, |e| (e.kind, e.message));
    Err(EngineError::Refused(
        address,
        status.as_u16(),
        kind,
        message,
        None,
    ))
}
