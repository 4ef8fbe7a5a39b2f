//! A request that was read and admitted.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_fleet::attempts::Attempts;
use geranium_fleet::dispatch::NoHost;
use geranium_fleet::host::HostId;
use geranium_fleet::route::{Route, RouteKind};
use geranium_fleet::service::Service;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use rand::Rng;

use super::answer::{Reason, Refusal};
use super::headers::{number, passed_headers, token_counts};
use crate::dialect::Dialect;
use crate::state::SharedState;

/// Time for which a caller waits if it names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest time for a body to arrive.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time that a process about to stop allows for a stream.
const STREAM_TIME: Duration = Duration::from_millis(4_500);
/// Time that a process about to stop allows for a request with a whole answer.
const WHOLE_TIME: Duration = Duration::from_millis(1_000);
/// Lowest rank that a model engine knows.
const LOWEST_RANK: u8 = 9;
/// When a caller may come back to another entry host.
const RETURN_ELSEWHERE: Duration = Duration::from_millis(10);
/// When a caller may come back while a group is being formed.
const RETURN_FOR_GROUP: Duration = Duration::from_millis(1_200);
/// When a caller may come back while all backend servers are full.
const RETURN_FOR_ROOM: Duration = Duration::from_millis(500);
/// When a caller may come back before a configuration is known.
const RETURN_FOR_START: Duration = Duration::from_millis(1_000);

/// A request with everything that its attempts need.
pub(super) struct Job<D: Dialect> {
    /// Shared state.
    pub(super) shared: Rc<SharedState<D>>,
    /// Its route.
    pub(super) route: Arc<Route>,
    /// The service that it goes to.
    pub(super) service: Arc<Service>,
    /// Identifier.
    pub(super) request_id: HeaderValue,
    /// Method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// Headers for backend servers, without those of one attempt.
    pub(super) headers: HeaderMap,
    /// Body, whole.
    pub(super) body: Bytes,
    /// Model that it asks for.
    pub(super) model: Option<String>,
    /// Prompt tokens.
    pub(super) prompt_tokens: f64,
    /// Arrival of its head.
    pub(super) arrived: Timestamp,
    /// When the caller or the operator gives up on it.
    pub(super) deadline: Timestamp,
    /// Backend servers that had it.
    pub(super) tried: Vec<HostId>,
    /// Attempts so far.
    pub(super) attempts: Attempts,
    /// Failure that the next attempt follows.
    pub(super) retry_cause: Option<&'static str>,
    /// Tells requests of the same content apart from others.
    pub(super) fingerprint: u64,
}

/// What the configuration says of a request.
struct Resolved {
    route: Arc<Route>,
    service: Arc<Service>,
    account: Option<Arc<str>>,
    rank: u8,
    max_body: usize,
}

impl<D: Dialect> Job<D> {
    /// Reads a request, finds its route and account, and checks its limits.
    pub(super) async fn admit(
        shared: &Rc<SharedState<D>>,
        req: Request<Incoming>,
    ) -> Result<Self, Refusal> {
        let arrived = shared.now();
        let (head, body) = req.into_parts();
        let request_id = head
            .headers
            .get(&shared.dialect.headers().request_id)
            .cloned();
        let refuse = |reason: Reason| Refusal {
            reason,
            request_id: request_id.clone(),
            retry_after: (reason == Reason::NoConfiguration).then_some(RETURN_FOR_START),
            kind: "none",
        };
        let resolved = resolve(shared, &head).map_err(refuse)?;
        let body = read_body(body, resolved.max_body).await.map_err(refuse)?;
        let id = request_id
            .clone()
            .ok_or_else(|| refuse(Reason::Malformed))?;
        let job = Self::new(shared, resolved, id, head, body, arrived);
        if !job.ends_before_stop() {
            return Err(job.refusal(Reason::Leaving));
        }
        if shared
            .core
            .borrow()
            .crashes
            .is_refused(job.fingerprint, arrived)
        {
            return Err(job.refusal(Reason::Crashes));
        }
        Ok(job)
    }

    fn new(
        shared: &Rc<SharedState<D>>,
        resolved: Resolved,
        request_id: HeaderValue,
        head: Parts,
        body: Bytes,
        arrived: Timestamp,
    ) -> Self {
        let names = shared.dialect.headers();
        let stated = number(&head.headers, &names.deadline);
        let patience = stated.map_or(DEFAULT_DEADLINE, |ms| Duration::from_millis(ms as u64));
        let model = head.headers.get(&names.model).and_then(|v| v.to_str().ok());
        let (prompt_tokens, answer_tokens) = token_counts(&head.headers, &names.token_counts);
        let estimate = number(&head.headers, &names.answer_estimate);
        let mut job = Self {
            shared: shared.clone(),
            request_id,
            model: model.map(str::to_owned),
            headers: passed_headers(&head.headers, names, resolved.account.as_deref()),
            method: head.method,
            uri: head.uri,
            body,
            prompt_tokens,
            arrived,
            deadline: arrived + patience.min(resolved.route.timeout),
            attempts: Attempts::new(resolved.route.kind, resolved.route.max_attempts),
            retry_cause: None,
            route: resolved.route,
            service: resolved.service,
            tried: Vec::new(),
            fingerprint: 0,
        };
        if job.service.engine.is_some() {
            let rank = HeaderValue::from(u16::from(resolved.rank.min(LOWEST_RANK)));
            job.headers.insert(names.priority.clone(), rank);
        }
        job.fingerprint = job.content_hash(resolved.account.as_deref());
        job.note_demand(estimate.unwrap_or(answer_tokens));
        job
    }

    /// Returns whether the request can end before this process does.
    fn ends_before_stop(&self) -> bool {
        let Some(end) = self.shared.exit_deadline.get() else {
            return true;
        };
        let needed = if self.route.kind.is_stream() {
            self.deadline.since(self.arrived).min(STREAM_TIME)
        } else {
            self.deadline.since(self.arrived).min(WHOLE_TIME)
        };
        self.arrived + needed <= end
    }

    fn content_hash(&self, account: Option<&str>) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        self.uri.path().hash(&mut hasher);
        account.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }

    fn note_demand(&self, answer_tokens: f64) {
        let now = self.arrived;
        let mut core = self.shared.core.borrow_mut();
        core.budget(&self.service.name, &self.shared.bounds.get())
            .request(now);
        if let (Some(engine), Some(model)) = (&self.service.engine, &self.model) {
            let meter = core.demand.entry(self.service.name.clone()).or_default();
            meter.note(engine, model, self.prompt_tokens, answer_tokens, now);
        }
    }

    /// Returns the identifier for logs.
    pub(super) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or_default()
    }

    /// Returns the name of the account, if the request has one.
    pub(super) fn account(&self) -> Option<&str> {
        let name = self.headers.get(&self.shared.dialect.headers().account)?;
        name.to_str().ok()
    }

    /// Returns the time that is left.
    pub(super) fn left(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Makes a refusal with the time at which the caller may come back.
    pub(super) fn refusal(&self, reason: Reason) -> Refusal {
        let retry_after = match reason {
            Reason::NoHost(why) => Some(self.return_time(why)),
            Reason::NoCapacity(_) => Some(RETURN_FOR_ROOM),
            Reason::Leaving => Some(RETURN_ELSEWHERE),
            Reason::Crashes => Some(DEFAULT_DEADLINE),
            _ => None,
        };
        Refusal {
            reason,
            request_id: Some(self.request_id.clone()),
            retry_after,
            kind: self.kind_word(),
        }
    }

    /// Returns when there may be a backend server for the request.
    fn return_time(&self, why: NoHost) -> Duration {
        match why {
            NoHost::None | NoHost::AllTried => RETURN_FOR_GROUP,
            NoHost::Paused(until) => until.since(self.shared.now()),
            NoHost::AtBound | NoHost::Full => RETURN_FOR_ROOM,
        }
    }

    /// Returns a word for the kind of the route.
    pub(super) fn kind_word(&self) -> &'static str {
        match self.route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Stream { .. } => "stream",
        }
    }
}

/// Finds the route, the service and the account of a request.
fn resolve<D: Dialect>(shared: &SharedState<D>, head: &Parts) -> Result<Resolved, Reason> {
    let names = shared.dialect.headers();
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let table = shared
        .core
        .borrow()
        .route_table
        .clone()
        .ok_or(Reason::NoConfiguration)?;
    let host = text(&HOST).unwrap_or_default();
    let route = table.route(host, head.uri.path()).ok_or(Reason::NoRoute)?;
    let account = text(&names.account_key).and_then(|k| table.account(k));
    if table.needs_key(route) && account.is_none() {
        return Err(Reason::UnknownKey);
    }
    let point = shared.core.borrow_mut().rng.random::<f64>();
    let services = &table.deployment().services;
    let service = route.target(point).and_then(|name| services.get(name));
    Ok(Resolved {
        route: route.clone(),
        service: service.cloned().ok_or(Reason::NoCapacity("no_service"))?,
        account: account.map(|a| a.name.clone()),
        rank: account.and_then(|a| a.priority).unwrap_or(route.priority),
        max_body: table.deployment().limits.max_body_bytes,
    })
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, Reason> {
    let limited = Limited::new(body, max).collect();
    match tokio::time::timeout(BODY_LIMIT, limited).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Reason::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyBroken),
    }
}
