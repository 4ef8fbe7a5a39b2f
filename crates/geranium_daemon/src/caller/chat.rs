//! Handlers for chat completions and the list of models.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::unfold;
use geranium_core::id::{AccountId, ModelId, RequestId};
use geranium_core::limit::{CrashVerdict, RequestFingerprint};
use geranium_core::time::Timestamp;
use geranium_engine::{ChatRequest, REQUEST_HEADER};
use geranium_net::{ApiError, discard_body, read_body};
use hyper::StatusCode;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use viz::{Body, Request, Response, Result};

use super::{auth, headers, refusal};
use crate::metrics::CallKind;
use crate::node::Node;
use crate::operator::reply;
use crate::relay::{CompleteAnswer, RelayJob, RelayOutput, RelayRequest, finish_text};
use crate::traffic::{
    AdmissionDecision, AdmissionGuard, AuthenticatedAccount, admission_request, prompt_block_hashes,
};

/// Number of frames buffered for the caller's connection.
const FRAME_CHANNEL_CAPACITY: usize = 64;

/// A validated completion request.
pub struct Completion {
    /// Request to relay.
    pub relay: RelayRequest,
    /// Whether the caller reads a stream.
    pub stream: bool,
}

/// Handles a chat completion.
pub async fn completions(node: Arc<Node>, mut req: Request) -> Result<Response> {
    let outcome = respond(&node, &mut req).await;
    if outcome.is_err() {
        discard_body(&mut req).await;
    }
    Ok(outcome?)
}

/// Lists the models that the caller may use.
pub async fn models(node: Arc<Node>, req: Request) -> Result<Response> {
    let account = auth::authenticate_account(&node, &req)?;
    let view = node.published.view();
    let mut model_names: Vec<&str> = view
        .records
        .models()
        .filter(|spec| {
            spec.accounts
                .iter()
                .any(|share| share.account == account.account)
        })
        .map(|spec| spec.served_model.as_str())
        .collect();
    model_names.dedup();
    let data: Vec<Value> = model_names
        .iter()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    Ok(reply::json(&json!({"object": "list", "data": data}))?)
}

async fn respond(node: &Arc<Node>, req: &mut Request) -> std::result::Result<Response, ApiError> {
    let completion = read_completion(node, req)
        .await
        .inspect_err(|e| count_refusal(node, e))?;
    node.traffic.count_request(node.clock.now());
    serve(node, completion).await
}

/// Counts a refusal that precedes the relay; the relay counts its own outcomes.
fn count_refusal(node: &Node, e: &ApiError) {
    node.metrics.count_request(CallKind::Chat, &e.kind);
}

async fn read_completion(
    node: &Node,
    req: &mut Request,
) -> std::result::Result<Completion, ApiError> {
    let account = auth::authenticate_account(node, req)?;
    read_completion_for(node, req, account).await
}

/// Reads and validates a completion request of an authenticated client account.
///
/// # Errors
///
/// Returns a typed refusal; no backend server has received the request.
pub async fn read_completion_for(
    node: &Node,
    req: &mut Request,
    account: AuthenticatedAccount,
) -> std::result::Result<Completion, ApiError> {
    let now = node.clock.now();
    let deadline = headers::deadline(req.headers(), now, node.settings.default_deadline)?;
    let request = headers::request_id(req.headers())?;
    let body = read_body(req, node.settings.max_body)
        .await
        .map_err(ApiError::not_run)?;
    let completion = parse_completion(node, account, request, deadline, &body)?;
    if node.is_stopping() {
        return Err(refusal::stopping());
    }
    Ok(completion)
}

/// Validates a body and builds the request to relay.
///
/// # Errors
///
/// Returns a typed refusal; no backend server has received the request.
fn parse_completion(
    node: &Node,
    account: AuthenticatedAccount,
    request: RequestId,
    deadline: Timestamp,
    body: &Bytes,
) -> std::result::Result<Completion, ApiError> {
    let mut document: Value = serde_json::from_slice(body)
        .map_err(|e| refusal::invalid("malformed_body", format!("body is not JSON: {e}")))?;
    let chat = ChatRequest::deserialize(&document).map_err(|e| {
        refusal::invalid("malformed_body", format!("body is not a chat request: {e}"))
    })?;
    let model: ModelId = chat
        .model
        .parse()
        .map_err(|_| refusal::unknown_model(&chat.model))?;
    check_model(node, &account.account, &model)?;
    let stream = chat.stream;
    let resume = chat.resume.clone();
    if let Some(fields) = document.as_object_mut() {
        // The relay always requests a stream, so that it can resume at another group.
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.remove("resume");
    }
    let content = serde_json::to_vec(&document).unwrap_or_default();
    let fingerprint = RequestFingerprint::of(&account.account, &model, &content);
    if node.traffic.crash_verdict(node.clock.now(), &fingerprint) == CrashVerdict::Refused {
        return Err(refusal::crashes_servers());
    }
    let relay = RelayRequest {
        request,
        account: account.account,
        priority: account.priority,
        model,
        body: Bytes::from(content),
        prefix: prompt_block_hashes(&chat.prompt()),
        fingerprint,
        deadline,
        forwarded: false,
        resume,
    };
    Ok(Completion { relay, stream })
}

fn check_model(
    node: &Node,
    account: &AccountId,
    model: &ModelId,
) -> std::result::Result<(), ApiError> {
    let view = node.published.view();
    let mut specs = view.records.models_serving(model).peekable();
    if specs.peek().is_none() {
        return Err(refusal::unknown_model(model.as_str()));
    }
    let allowed = specs.any(|spec| spec.accounts.iter().any(|share| share.account == *account));
    if allowed {
        Ok(())
    } else {
        Err(refusal::not_allowed(account.as_str(), model.as_str()))
    }
}

/// Admits a completion and returns its response.
///
/// # Errors
///
/// Returns a typed refusal or failure.
pub async fn serve(
    node: &Arc<Node>,
    completion: Completion,
) -> std::result::Result<Response, ApiError> {
    let admission = admit(node, &completion.relay).await;
    let admission = admission.inspect_err(|e| count_refusal(node, e))?;
    let request = completion.relay.request.clone();
    let mut res = if completion.stream {
        respond_stream(node, completion.relay, admission).await?
    } else {
        respond_complete(node, completion.relay, admission).await?
    };
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        res.headers_mut().insert(REQUEST_HEADER, value);
    }
    Ok(res)
}

async fn admit(
    node: &Arc<Node>,
    relay: &RelayRequest,
) -> std::result::Result<AdmissionGuard, ApiError> {
    let admission_req = admission_request(&relay.account, relay.priority, relay.deadline);
    match node
        .traffic
        .admit(node.clock.now(), &relay.model, &admission_req)
    {
        AdmissionDecision::Refused(e) => Err(refusal::admission(&e)),
        AdmissionDecision::Admitted(ticket) => Ok(AdmissionGuard::new(
            node.clone(),
            relay.model.clone(),
            ticket,
        )),
        AdmissionDecision::Queued(ticket, wait) => {
            // Dropped if the caller disconnects while queued, which frees its place.
            let admission = AdmissionGuard::new(node.clone(), relay.model.clone(), ticket);
            match wait.await {
                Ok(Ok(())) => Ok(admission),
                Ok(Err(e)) => Err(refusal::admission(&e)),
                Err(_) => Err(refusal::stopping()),
            }
        }
    }
}

async fn respond_stream(
    node: &Arc<Node>,
    relay: RelayRequest,
    admission: AdmissionGuard,
) -> std::result::Result<Response, ApiError> {
    let (started_tx, started) = oneshot::channel();
    let (frames_tx, frames_rx) = mpsc::channel::<Bytes>(FRAME_CHANNEL_CAPACITY);
    let output = RelayOutput::Stream {
        started: Some(started_tx),
        frames: frames_tx,
        memory: node.response_memory.clone(),
    };
    tokio::spawn(RelayJob::new(node.clone(), relay, output, admission).run());
    started
        .await
        .unwrap_or_else(|_| Err(refusal::interrupted("the relay ended")))?;
    let frames = unfold(frames_rx, |mut rx| async move {
        let frame = rx.recv().await?;
        Some((frame, rx))
    });
    let body = Body::from_stream(frames.map(Ok::<Bytes, std::io::Error>));
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    Ok(res)
}

async fn respond_complete(
    node: &Arc<Node>,
    relay: RelayRequest,
    admission: AdmissionGuard,
) -> std::result::Result<Response, ApiError> {
    let (done_tx, done) = oneshot::channel();
    let (request, model) = (relay.request.clone(), relay.model.clone());
    let output = RelayOutput::Complete {
        done: Some(done_tx),
        text: String::new(),
        memory: Some(node.response_memory.reservation()),
    };
    let created = node.clock.now().as_millis() / 1_000;
    tokio::spawn(RelayJob::new(node.clone(), relay, output, admission).run());
    let mut answer = done
        .await
        .unwrap_or_else(|_| Err(refusal::interrupted("the relay ended")))?;
    let body = Bytes::from(render_answer(&request, &model, created, &answer).to_string());
    if !answer.memory.resize(body.len()) {
        return Err(refusal::no_memory());
    }
    let body = answer.memory.attach(body);
    Ok(reply::with_content_type(
        StatusCode::OK,
        "application/json",
        body,
    ))
}

fn render_answer(
    request: &RequestId,
    model: &ModelId,
    created: u64,
    answer: &CompleteAnswer,
) -> Value {
    json!({
        "id": request,
        "object": "chat.completion",
        "created": created,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": answer.text},
            "finish_reason": finish_text(&answer.reason),
        }],
        "usage": {"completion_tokens": answer.tokens},
    })
}
