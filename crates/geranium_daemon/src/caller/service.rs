//! Handler for calls to plain services.

mod claimed_call;
mod response;
mod validated_call;

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::engine::HostState;
use geranium_core::id::{HostId, RecordName};
use geranium_core::once::{ClaimRequest, Fingerprint, IdempotencyKey};
use geranium_core::record::{ServiceRoute, ServiceSpec};
use geranium_engine::ServiceError;
use geranium_net::{ApiError, discard_body, read_body};
use hyper::{Method, StatusCode};
use viz::{Request, RequestExt, Response};

use self::claimed_call::ClaimedCall;
use self::validated_call::ValidatedCall;
use super::{auth, headers, refusal};
use crate::metrics::{CallKind, ReasonLabel};
use crate::node::Node;

/// Header with the key that identifies a call when it is sent again.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Handles a call to a plain service.
pub async fn call(node: Arc<Node>, mut req: Request) -> viz::Result<Response> {
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

async fn answer(node: &Arc<Node>, req: &mut Request) -> Result<Response, ApiError> {
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

async fn read_call(node: &Node, req: &mut Request) -> Result<ValidatedCall, ApiError> {
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
fn split_path(req: &Request) -> Result<(RecordName, String), ApiError> {
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
) -> Result<&'a ServiceRoute, ApiError> {
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
async fn call_idempotent(node: &Arc<Node>, call: ValidatedCall) -> Result<Response, ApiError> {
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
        let outgoing = call.request_to(*address);
        match node.services.call(outgoing, call.deadline.since(now)).await {
            Ok(answer) => return Ok(response::from_endpoint(answer)),
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

/// Runs a call under a claim, because it must not run twice.
async fn call_with_claim(node: &Arc<Node>, call: ValidatedCall) -> Result<Response, ApiError> {
    let claim = claim_request(&call)?;
    let upstream = claimed_call(node, &call);
    let answer = node.claims.call(claim, upstream).await;
    let reason = answer.error_type().unwrap_or("done").to_owned();
    node.metrics
        .claims
        .get_or_create(&ReasonLabel { reason })
        .inc();
    response::from_claim(answer)
}

fn claim_request(call: &ValidatedCall) -> Result<ClaimRequest, ApiError> {
    let path = format!("/{}{}", call.service, call.path);
    Ok(ClaimRequest {
        request: call.request.clone(),
        account: call.account.clone(),
        key: idempotency_key(call)?,
        key_issued_at: None,
        fingerprint: Fingerprint::of(call.method.as_str(), &path, &call.body),
        deadline: call.deadline,
    })
}

fn idempotency_key(call: &ValidatedCall) -> Result<IdempotencyKey, ApiError> {
    let Some(key) = headers::text(&call.headers, IDEMPOTENCY_KEY_HEADER)? else {
        let message =
            format!("the route is not idempotent: header {IDEMPOTENCY_KEY_HEADER:?} is required");
        return Err(refusal::invalid("idempotency_key_required", message));
    };
    key.parse()
        .map_err(|e| refusal::invalid("invalid_idempotency_key", format!("{e}")))
}

fn claimed_call(node: &Node, call: &ValidatedCall) -> ClaimedCall {
    let endpoints = call.endpoints.iter();
    ClaimedCall {
        services: node.services.clone(),
        clock: node.clock,
        endpoints: endpoints.map(|e| call.request_to(*e)).collect(),
        deadline: call.deadline,
    }
}
