//! The calls of an engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::engine::{EnginePhase, EngineReport, Order};
use geranium_engine::{
    ChatRequest, DEADLINE_HEADER, FENCING_HEADER, GROUP_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
};
use geranium_net::{ApiError, read_body};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use viz::{Body, IntoResponse, Request, RequestExt, Response};

use super::core::EngineCore;
use super::members::{MemberAnswer, MemberQuestion};
use super::output::{into_events, into_text};
use super::refusal::CallRefusal;
use super::render::whole_answer;
use super::session::{Session, SessionSpec};
use crate::http::{drop_connection, json, parse_json};

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 64 << 20;
/// Longest time for a completion, also for one that names none.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);
/// Bytes of one block hash in an export.
const HASH_BYTES: usize = size_of::<u64>();

#[derive(Serialize)]
struct OrderAnswer {
    report: EngineReport,
}

#[derive(Deserialize)]
struct CancelBody {
    request: String,
}

#[derive(Deserialize)]
struct ExportBody {
    block_hashes: Vec<u64>,
}

pub(super) async fn report(core: Arc<EngineCore>, _: Request) -> Response {
    core.wait_unpaused().await;
    json(StatusCode::OK, &core.report())
}

pub(super) async fn order(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    let order: Order = match read_json(&mut req).await {
        Ok(order) => order,
        Err(e) => return e.into_response(),
    };
    if let Err(e) = core.follow(&order) {
        return CallRefusal::from(e).into_response();
    }
    let mut condition = core.condition.lock();
    if condition.lose_order_answers > 0 {
        condition.lose_order_answers -= 1;
        return drop_connection();
    }
    drop(condition);
    let report = core.report();
    json(StatusCode::OK, &OrderAnswer { report })
}

pub(super) async fn complete(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    let chat: ChatRequest = match read_json(&mut req).await {
        Ok(chat) => chat,
        Err(e) => return e.into_response(),
    };
    let meant = MeantFor::of(&req);
    if let Err(e) = check_group(&core, &meant) {
        return e.into_response();
    }
    if is_over_cold_capacity(&core) {
        core.stats.lock().over_capacity += 1;
        core.fail_over();
        return drop_connection();
    }
    let Some(spec) = session_spec(&core, &req, chat) else {
        return CallRefusal::WrongGroup(meant.group, meant.fencing).into_response();
    };
    run(Session::new(core, spec)).await
}

pub(super) async fn cancel(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    let body: CancelBody = match read_json(&mut req).await {
        Ok(body) => body,
        Err(e) => return e.into_response(),
    };
    let cancelled = core.requests.lock().cancel(&body.request);
    let answer = serde_json::json!({ "cancelled": cancelled });
    json(StatusCode::OK, &answer)
}

pub(super) async fn cache_events(core: Arc<EngineCore>, req: Request) -> Response {
    core.wait_unpaused().await;
    let after = req
        .query_string()
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let events = core.cache.lock().events_after(after, core.now());
    json(StatusCode::OK, &events)
}

pub(super) async fn export_kv(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    let body: ExportBody = match read_json(&mut req).await {
        Ok(body) => body,
        Err(e) => return e.into_response(),
    };
    let cache = core.cache.lock();
    let exported: Vec<u8> = body
        .block_hashes
        .into_iter()
        .filter(|block| cache.contains(*block))
        .flat_map(u64::to_le_bytes)
        .collect();
    let mut res = Response::new(Body::Full(http_body_util::Full::new(Bytes::from(exported))));
    let octets = HeaderValue::from_static("application/octet-stream");
    res.headers_mut().insert(CONTENT_TYPE, octets);
    res
}

pub(super) async fn import_kv(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    let body = match read_body(&mut req, MAX_BODY).await {
        Ok(body) => body,
        Err(e) => return e.into_response(),
    };
    let now = core.now();
    let (blocks, []) = body.as_chunks::<HASH_BYTES>() else {
        return CallRefusal::BrokenExport(body.len()).into_response();
    };
    let mut cache = core.cache.lock();
    for block in blocks {
        cache.touch(u64::from_le_bytes(*block), now);
    }
    let answer = serde_json::json!({ "imported": blocks.len() });
    json(StatusCode::OK, &answer)
}

/// Answers rank 0 of the replica; not a part of the published protocol.
pub(super) async fn member(core: Arc<EngineCore>, mut req: Request) -> Response {
    core.wait_unpaused().await;
    match read_json::<MemberQuestion>(&mut req).await {
        Ok(question) => json(StatusCode::OK, &MemberAnswer::of(&core, &question)),
        Err(e) => e.into_response(),
    }
}

async fn run(session: Session) -> Response {
    if session.is_streamed() {
        let mut res = Response::new(Body::from_stream(into_events(session)));
        let events = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(CONTENT_TYPE, events);
        return res;
    }
    let facts = session.facts();
    match into_text(session).await {
        Ok(text) => {
            let answer = whole_answer(
                &facts.request,
                &facts.model,
                &text,
                facts.prompt_tokens,
                facts.completion_tokens,
            );
            json(StatusCode::OK, &answer)
        }
        Err(e) => CallRefusal::from(e).into_response(),
    }
}

/// Group and fencing number that a request is meant for.
struct MeantFor {
    group: String,
    fencing: u64,
}

impl MeantFor {
    fn of(req: &Request) -> Self {
        Self {
            group: req.header(GROUP_HEADER).unwrap_or_default(),
            fencing: req.header(FENCING_HEADER).unwrap_or_default(),
        }
    }
}

fn check_group(core: &EngineCore, meant: &MeantFor) -> Result<(), CallRefusal> {
    if !core.state.lock().serves(&meant.group, meant.fencing) {
        core.stats.lock().wrong_group += 1;
        return Err(CallRefusal::WrongGroup(meant.group.clone(), meant.fencing));
    }
    match core.phase() {
        EnginePhase::Cold | EnginePhase::Warm => Ok(()),
        EnginePhase::Idle | EnginePhase::Loading => Err(CallRefusal::Loading),
    }
}

fn is_over_cold_capacity(core: &EngineCore) -> bool {
    let present = core.requests.lock().len();
    core.phase() == EnginePhase::Cold && present >= core.cfg.cold_capacity as usize
}

fn session_spec(core: &EngineCore, req: &Request, chat: ChatRequest) -> Option<SessionSpec> {
    let state = core.state.lock();
    let load = state.load_order()?;
    let remaining = req.header(DEADLINE_HEADER).map(Duration::from_millis);
    Some(SessionSpec {
        request: req.header(REQUEST_HEADER).unwrap_or_default(),
        priority: req.header(PRIORITY_HEADER).unwrap_or_default(),
        deadline: Instant::now() + remaining.unwrap_or(MAX_DEADLINE).min(MAX_DEADLINE),
        chat,
        weights: load.model.clone(),
        version: load.version.clone(),
    })
}

async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let body = read_body(req, MAX_BODY).await?;
    parse_json(&body)
}
