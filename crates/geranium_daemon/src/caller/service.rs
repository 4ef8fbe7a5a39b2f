//! Handler for calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use geranium_core::engine::HostState;
use geranium_core::id::{AccountId, HostId, RecordName, RequestId};
use geranium_core::once::{
    ClaimAnswer, ClaimRequest, Fingerprint, IdempotencyKey, OtherAttempts, StoredBody,
    UpstreamAnswer, UpstreamOutcome,
};
use geranium_core::record::{ServiceRoute, ServiceSpec};
use geranium_core::time::Timestamp;
use geranium_engine::{ServiceCall, ServiceClient, ServiceError, ServiceResponse};
use geranium_net::{ApiError, discard_body, read_body};
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use viz::{Body, Request, RequestExt, Response, Result};

use super::{auth, headers, refusal};
use crate::claim::UpstreamCall;
use crate::metrics::{CallKind, ReasonLabel};
use crate::node::Node;
use geranium_telemetry::ProcessClock;

/// Header with the key that identifies a call when it is sent again.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header that marks the stored answer of an earlier attempt.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A validated call.
struct ValidatedCall {
    request: RequestId,
    account: AccountId,
    service: RecordName,
    method: Method,
    /// Path below the service's prefix, including the query.
    path: String,
    headers: HeaderMap,
    body: Bytes,
    deadline: Timestamp,
    idempotent: bool,
    endpoints: Vec<SocketAddr>,
}

/// Handles a call to a plain service.
pub async fn call(node: Arc<Node>, mut req: Request) -> Result<Response> {
    let has_key = req.headers().contains_key(IDEMPOTENCY_KEY_HEADER);
    let outcome = answer(&node, &mut req).await.map_err(|e| {
        // Most refusals precede the lookup of the claim, so that an earlier attempt with
        // this key may have run.
        let is_unspecified = e.ran == Some(false) && e.earlier_attempt_may_have_run.is_none();
        if has_key && is_unspecified {
            e.earlier_attempt_may_have_run(true)
        } else {
            e
        }
    });
    if outcome.is_err() {
        discard_body(&mut req).await;
    }
    let label = outcome
        .as_ref()
        .map_or_else(|e| e.kind.as_str(), |_| "complete");
    node.metrics.count_request(CallKind::Service, label);
    Ok(outcome?)
}

async fn answer(node: &Arc<Node>, req: &mut Request) -> std::result::Result<Response, ApiError> {
    let call = read_call(node, req).await?;
    if node.is_stopping() {
        return Err(refusal::stopping());
    }
    node.traffic.count_request(node.clock.now());
    if call.idempotent {
        return call_idempotent(node, call).await;
    }
    call_with_claim(node, call).await
}

async fn read_call(node: &Node, req: &mut Request) -> std::result::Result<ValidatedCall, ApiError> {
    let account = auth::authenticate_account(node, req)?.account;
    let deadline = headers::deadline(
        req.headers(),
        node.clock.now(),
        node.settings.default_deadline,
    )?;
    let request = headers::request_id(req.headers())?;
    let (service, path) = split_path(req)?;
    let view = node.published.view();
    let spec = view
        .records
        .service(&service)
        .ok_or_else(|| unknown_service(service.as_str()))?;
    if !spec.accounts.contains(&account) {
        return Err(refusal::not_allowed(account.as_str(), service.as_str()));
    }
    let route = find_route(spec, req.method(), &path)?;
    let body = read_body(req, node.settings.max_body)
        .await
        .map_err(ApiError::not_run)?;
    let query = req
        .query_string()
        .map_or_else(String::new, |query| format!("?{query}"));
    Ok(ValidatedCall {
        request,
        account,
        method: req.method().clone(),
        path: format!("{path}{query}"),
        headers: req.headers().clone(),
        body,
        deadline,
        idempotent: route.idempotent,
        endpoints: endpoints(node, spec),
        service,
    })
}

/// Splits `/v1/services/NAME/REST` into `NAME` and `/REST`.
fn split_path(req: &Request) -> std::result::Result<(RecordName, String), ApiError> {
    let rest = req
        .uri()
        .path()
        .strip_prefix("/v1/services/")
        .unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name.parse().map_err(|_| unknown_service(name))?;
    Ok((service, format!("/{path}")))
}

fn unknown_service(name: &str) -> ApiError {
    let message = format!("service {name:?} does not exist");
    ApiError::new(StatusCode::NOT_FOUND, "unknown_service", message).not_run()
}

fn find_route<'a>(
    spec: &'a ServiceSpec,
    method: &Method,
    path: &str,
) -> std::result::Result<&'a ServiceRoute, ApiError> {
    let matches = |route: &&ServiceRoute| {
        let path_matches = match route.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => route.path == path,
        };
        path_matches && route.method.eq_ignore_ascii_case(method.as_str())
    };
    // The longest path wins, so that a specific route overrides a wildcard that covers it.
    let best_match = spec
        .routes
        .iter()
        .filter(matches)
        .max_by_key(|route| route.path.len());
    best_match.ok_or_else(|| {
        let message = format!(
            "route {method} {path} of service {} does not exist",
            spec.name
        );
        ApiError::new(StatusCode::NOT_FOUND, "unknown_route", message).not_run()
    })
}

/// Returns the addresses of the service's endpoints, those in this failure domain
/// first. Drained and leaving hosts are excluded.
fn endpoints(node: &Node, spec: &ServiceSpec) -> Vec<SocketAddr> {
    let view = node.published.view();
    let drained = view.records.drained();
    let is_leaving = |host: &HostId| {
        let entry = view.hosts.iter().find(|entry| entry.host == *host);
        entry.is_some_and(|entry| entry.state == HostState::Leaving)
    };
    let usable = spec
        .endpoints
        .iter()
        .filter(|e| !drained.covers(&e.failure_domain, &e.host) && !is_leaving(&e.host));
    let mut endpoints: Vec<_> = usable.collect();
    endpoints.sort_by_key(|e| e.failure_domain != node.settings.failure_domain);
    endpoints.into_iter().map(|e| e.address).collect()
}

/// Runs an idempotent call; retries a failure at the next endpoint.
async fn call_idempotent(
    node: &Arc<Node>,
    call: ValidatedCall,
) -> std::result::Result<Response, ApiError> {
    let mut may_have_run = false;
    let mut last_error = "it has no endpoint in service".to_owned();
    for (attempt, address) in call.endpoints.iter().enumerate() {
        let now = node.clock.now();
        if now >= call.deadline {
            return Err(refusal::deadline_passed(may_have_run));
        }
        if attempt > 0 && !node.traffic.try_retry(now) {
            return Err(refusal::retries_exhausted(may_have_run));
        }
        let outgoing = service_call(&call, *address);
        match node.services.call(outgoing, call.deadline.since(now)).await {
            Ok(answer) => return Ok(render(answer)),
            Err(e) => {
                may_have_run |= matches!(e, ServiceError::OutcomeUnknown(_));
                last_error = e.to_string();
            }
        }
    }
    let message = format!(
        "service {:?} did not answer: {last_error}",
        call.service.as_str()
    );
    let failure = refusal::interrupted(&message);
    Err(if may_have_run {
        failure
    } else {
        failure.not_run()
    })
}

fn service_call(call: &ValidatedCall, address: SocketAddr) -> ServiceCall {
    ServiceCall {
        address,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

fn render(answer: ServiceResponse) -> Response {
    let mut res = Response::new(Body::Full(Full::new(answer.body)));
    *res.status_mut() = answer.status;
    *res.headers_mut() = answer.headers;
    res
}

/// Runs a call under a claim, because it must not run twice.
async fn call_with_claim(
    node: &Arc<Node>,
    call: ValidatedCall,
) -> std::result::Result<Response, ApiError> {
    let Some(key) = headers::text(&call.headers, IDEMPOTENCY_KEY_HEADER)? else {
        let message =
            format!("the route is not idempotent: header {IDEMPOTENCY_KEY_HEADER:?} is required");
        return Err(refusal::invalid("idempotency_key_required", message));
    };
    let key: IdempotencyKey = key
        .parse()
        .map_err(|e| refusal::invalid("invalid_idempotency_key", format!("{e}")))?;
    let path = format!("/{}{}", call.service, call.path);
    let claim = ClaimRequest {
        request: call.request.clone(),
        account: call.account.clone(),
        key,
        key_issued_at: None,
        fingerprint: Fingerprint::of(call.method.as_str(), &path, &call.body),
        deadline: call.deadline,
    };
    let upstream = ClaimedCall {
        services: node.services.clone(),
        clock: node.clock,
        endpoints: call
            .endpoints
            .iter()
            .map(|&address| service_call(&call, address))
            .collect(),
        deadline: call.deadline,
    };
    let answer = node.claims.call(claim, upstream).await;
    let reason = answer.error_type().unwrap_or("done").to_owned();
    node.metrics
        .claims
        .get_or_create(&ReasonLabel { reason })
        .inc();
    render_claim(answer)
}

/// Sends a claimed call to the endpoints of its service.
struct ClaimedCall {
    services: ServiceClient,
    clock: ProcessClock,
    endpoints: Vec<ServiceCall>,
    deadline: Timestamp,
}

impl UpstreamCall for ClaimedCall {
    async fn send(&mut self, before: Timestamp) -> UpstreamOutcome {
        for call in &self.endpoints {
            let now = self.clock.now();
            if now >= before || now >= self.deadline {
                return UpstreamOutcome::NotSent;
            }
            match self
                .services
                .call(call.clone(), self.deadline.since(now))
                .await
            {
                Ok(answer) => return UpstreamOutcome::Answered(upstream_answer(answer)),
                Err(ServiceError::OutcomeUnknown(_)) => return UpstreamOutcome::Unknown,
                // Nothing was sent, so that the next endpoint can be tried safely.
                Err(ServiceError::NotSent(_)) => {}
            }
        }
        UpstreamOutcome::NotSent
    }
}

fn upstream_answer(answer: ServiceResponse) -> UpstreamAnswer {
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    UpstreamAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: answer.body,
    }
}

fn render_claim(answer: ClaimAnswer) -> std::result::Result<Response, ApiError> {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = answer.error_type().unwrap_or_default();
    let retry_after = answer.retry_after();
    let refusal = match answer {
        ClaimAnswer::Done(answer) => return Ok(respond(status, &answer.headers, answer.body)),
        ClaimAnswer::Replayed(answer) => {
            let mut res = match answer.body {
                StoredBody::Whole(body) => respond(status, &answer.headers, body),
                StoredBody::Digest { sha256, len } => digest_response(status, &sha256, len),
            };
            res.headers_mut()
                .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
            return Ok(res);
        }
        ClaimAnswer::NotRun(refusal) => {
            let message = format!("this attempt was not run: {:?}", refusal.reason);
            let may_have_run = refusal.other_attempts == OtherAttempts::NotChecked;
            ApiError::new(status, kind, message)
                .not_run()
                .earlier_attempt_may_have_run(may_have_run)
        }
        ClaimAnswer::OutcomeUnknown(unknown) => {
            let message = format!(
                "attempt {} may have run ({:?}); it is never run again under this key",
                unknown.attempt, unknown.reason
            );
            ApiError::new(status, kind, message)
        }
        ClaimAnswer::InProgress(progress) => {
            let message = format!("attempt {} with this key is in progress", progress.attempt);
            ApiError::new(status, kind, message)
                .not_run()
                .earlier_attempt_may_have_run(true)
        }
        ClaimAnswer::KeyReused => {
            let message = "the idempotency key was already used for another request";
            ApiError::new(status, kind, message).not_run()
        }
    };
    Err(match retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    })
}

fn respond(status: StatusCode, headers: &[(String, String)], body: Bytes) -> Response {
    let mut res = Response::new(Body::Full(Full::new(body)));
    *res.status_mut() = status;
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            res.headers_mut().insert(name, value);
        }
    }
    res
}

/// Returns the digest of a stored answer whose body was too long to store.
fn digest_response(status: StatusCode, sha256: &str, len: u64) -> Response {
    let body = serde_json::json!({"body_not_kept": {"sha256": sha256, "bytes": len}});
    let mut res = Response::new(Body::Full(Full::new(Bytes::from(body.to_string()))));
    *res.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    res
}
