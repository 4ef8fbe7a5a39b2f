//! A request that was read completely and admitted.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_fleet::admission::{AdmissionLimits, LOWEST_PRIORITY};
use geranium_fleet::attempts::Attempts;
use geranium_fleet::crash::{CrashCount, CrashSubject, CrashVerdict};
use geranium_fleet::dispatch::NoHost;
use geranium_fleet::host::HostId;
use geranium_fleet::prompt_parts::PromptParts;
use geranium_fleet::route::{Route, RouteKind};
use geranium_fleet::service::Service;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use rand::Rng;

use super::forward::{self, Origin};
use super::headers::{forwarded_request_headers, parse_number, token_counts};
use super::refusal::{Refusal, RefusalReason};
use super::retry_after::RETRY_AFTER_TRIAL;
use crate::dialect::Dialect;
use crate::metrics::ModelLabel;
use crate::state::SharedState;

/// Deadline of a request whose caller does not send one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// During a shutdown, a stream that its caller can resume at another entry host is sent if this
/// time remains until the exit of the process.
const RESUMABLE_STREAM_TIME: Duration = Duration::from_millis(4_500);
/// Time between the latest deadline of a request that is sent during a shutdown and the exit of
/// the process, in which the answer is written.
const ANSWER_TIME_AT_SHUTDOWN: Duration = Duration::from_millis(200);

/// An admitted request, with everything that its attempts need.
pub(super) struct ActiveRequest<D: Dialect> {
    pub(super) shared: Rc<SharedState<D>>,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<Service>,
    pub(super) request_id: HeaderValue,
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// Headers for backend servers, except those that differ between attempts.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) model: Option<String>,
    /// Priority of the account or the route; 0 is the highest.
    pub(super) priority: u8,
    pub(super) prompt_tokens: f64,
    pub(super) prompt_parts: PromptParts,
    /// Time at which the request headers arrived.
    pub(super) arrived: Timestamp,
    /// The earlier of the caller's deadline and the timeout of the route.
    pub(super) deadline: Timestamp,
    /// Backend servers that were tried.
    pub(super) tried: Vec<HostId>,
    /// Entry hosts that were asked to take the request.
    pub(super) tried_entry_hosts: Vec<Arc<str>>,
    /// When the first of them was asked.
    pub(super) search_began: Option<Timestamp>,
    /// Whether the next attempt goes to another entry host.
    pub(super) forward_next: bool,
    /// Where the request comes from.
    pub(super) origin: Origin,
    /// Key of the client account, if it has one.
    pub(super) account_key: Option<HeaderValue>,
    /// Limits at the groups of its model at the last attempt, if admission is enabled.
    pub(super) admission: Option<AdmissionLimits>,
    /// State of the attempts so far.
    pub(super) attempts: Attempts,
    /// Cause of the next attempt, if it is a retry.
    pub(super) retry_cause: Option<&'static str>,
    /// What may crash a backend server: the request as a whole, and the parts of its prompt
    /// that others may share.
    pub(super) crash_subjects: Vec<CrashSubject>,
    /// Crash counts of its suspected subjects when it was last sent.
    pub(super) sent_counts: Vec<CrashCount>,
}

/// What the configuration determines for a request.
struct Resolved {
    route: Arc<Route>,
    service: Arc<Service>,
    account: Option<Arc<str>>,
    priority: u8,
    max_body: usize,
}

impl<D: Dialect> ActiveRequest<D> {
    /// Resolves the route and account of a request, reads its body and decides whether to
    /// admit it.
    pub(super) async fn admit(
        shared: &Rc<SharedState<D>>,
        req: Request<Incoming>,
        origin: Origin,
    ) -> Result<Self, Refusal> {
        let arrived = shared.now();
        let (head, body) = req.into_parts();
        let request_id = head
            .headers
            .get(&shared.dialect.headers().request_id)
            .cloned();
        let refuse = |reason: RefusalReason| Refusal {
            reason,
            request_id: request_id.clone(),
            retry_after: reason.retry_after(arrived),
            kind: "none",
        };
        let resolved = resolve(shared, &head).map_err(refuse)?;
        let body = read_body(body, resolved.max_body).await.map_err(refuse)?;
        let id = request_id
            .clone()
            .ok_or_else(|| refuse(RefusalReason::Malformed))?;
        let request = Self::new(shared, resolved, id, head, body, origin, arrived);
        request.check_exit()?;
        if origin == Origin::EntryHost && shared.is_cut_off() {
            return Err(request.refusal(RefusalReason::NoHost(NoHost::CutOff)));
        }
        // One that is forwarded is checked where it is sent to a backend server.
        if !request.has_to_forward() {
            request.check_crashes().await?;
            // The process may have been asked to stop in the meantime.
            request.check_exit()?;
        }
        Ok(request)
    }

    fn new(
        shared: &Rc<SharedState<D>>,
        resolved: Resolved,
        request_id: HeaderValue,
        mut head: Parts,
        body: Bytes,
        origin: Origin,
        arrived: Timestamp,
    ) -> Self {
        let mut max_attempts = resolved.route.max_attempts;
        if origin == Origin::EntryHost {
            let left = forward::take_attempts_left(&mut head.headers);
            max_attempts = left.map_or(max_attempts, |left| left.min(max_attempts));
        }
        let names = shared.dialect.headers();
        let requested_timeout = parse_number(&head.headers, &names.deadline);
        let timeout =
            requested_timeout.map_or(DEFAULT_DEADLINE, |ms| Duration::from_millis(ms as u64));
        let model = head.headers.get(&names.model).and_then(|v| v.to_str().ok());
        let (prompt_tokens, answer_tokens) = token_counts(&head.headers, &names.token_counts);
        let estimate = parse_number(&head.headers, &names.answer_estimate);
        let mut request = Self {
            shared: shared.clone(),
            request_id,
            model: model.map(str::to_owned),
            headers: forwarded_request_headers(&head.headers, names, resolved.account.as_deref()),
            method: head.method,
            uri: head.uri,
            body,
            priority: resolved.priority.min(LOWEST_PRIORITY),
            prompt_tokens,
            prompt_parts: shared.dialect.prompt_parts(&head.headers),
            arrived,
            deadline: arrived + timeout.min(resolved.route.timeout),
            attempts: Attempts::new(resolved.route.kind, max_attempts),
            retry_cause: None,
            route: resolved.route,
            service: resolved.service,
            tried: Vec::new(),
            tried_entry_hosts: Vec::new(),
            search_began: None,
            forward_next: false,
            origin,
            account_key: head.headers.get(&names.account_key).cloned(),
            admission: None,
            crash_subjects: Vec::new(),
            sent_counts: Vec::new(),
        };
        if request.service.engine.is_some() {
            let priority = HeaderValue::from(u16::from(request.priority));
            request.headers.insert(names.priority.clone(), priority);
        }
        let fingerprint = request.content_hash(resolved.account.as_deref());
        let parts = request.prompt_parts.shared.iter().copied();
        request.crash_subjects = std::iter::once(CrashSubject::Request(fingerprint))
            .chain(parts.map(CrashSubject::Part))
            .collect();
        request.record_demand(estimate.unwrap_or(answer_tokens));
        request
    }

    /// Refuses the request if it may run longer than this process. Another entry host would
    /// have to answer through this one as well, so that forwarding does not help.
    fn check_exit(&self) -> Result<(), Refusal> {
        if self.is_cut_by_exit() {
            return Err(self.refusal(RefusalReason::Leaving));
        }
        Ok(())
    }

    /// Returns whether the request may run until this process exits. Its deadline counts, not
    /// the time that such requests usually take: the exit cuts what lasts longer, and the caller
    /// must not repeat a request that may have run. A stream that may be resumed loses less by
    /// a cut than by a refusal of all of its kind.
    pub(super) fn is_cut_by_exit(&self) -> bool {
        let Some(exit) = self.shared.exit_deadline.get() else {
            return false;
        };
        let kind = self.route.kind;
        if kind.is_stream() && kind.may_repeat() {
            let soon = self.shared.now() + RESUMABLE_STREAM_TIME;
            return self.deadline.min(soon) > exit;
        }
        self.deadline + ANSWER_TIME_AT_SHUTDOWN > exit
    }

    fn content_hash(&self, account: Option<&str>) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        self.uri.path().hash(&mut hasher);
        account.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }

    /// Refuses the request if it would crash a backend server.
    async fn check_crashes(&self) -> Result<(), Refusal> {
        let trial = match self.crash_verdict() {
            CrashVerdict::Allowed => return Ok(()),
            CrashVerdict::Refused {
                subject,
                retry_after,
            } => {
                log::info!(request = self.id(), subject:% = subject; "request would crash a backend server");
                return Err(self.refusal(RefusalReason::CrashesServers(retry_after)));
            }
            CrashVerdict::Trial(trial) => trial,
        };
        if self.shared.crash_outbox.claim(trial).await {
            log::info!(request = self.id(), subject:% = trial.subject, crashes = trial.crashes; "request runs as a trial");
            return Ok(());
        }
        Err(self.refusal(RefusalReason::CrashesServers(RETRY_AFTER_TRIAL)))
    }

    /// Returns whether the request may run as far as crashes of backend servers are concerned.
    pub(super) fn crash_verdict(&self) -> CrashVerdict {
        let crashes = &self.shared.core.borrow().crashes;
        crashes.verdict(&self.crash_subjects, self.shared.now())
    }

    /// Returns the label of the request's model in metrics, if its service has that model.
    fn model_label(&self) -> Option<ModelLabel> {
        let engine = self.service.engine.as_ref()?;
        let model = engine.model(self.model.as_deref()?)?;
        Some(ModelLabel {
            model: model.name.to_string(),
        })
    }

    fn record_demand(&self, answer_tokens: f64) {
        let now = self.arrived;
        let mut core = self.shared.core.borrow_mut();
        core.budget(&self.service.name, &self.shared.bounds.get())
            .request(now);
        if self.origin == Origin::EntryHost {
            // The entry host that its caller asked has counted it.
            return;
        }
        if let Some(label) = self.model_label() {
            let requests = &self.shared.metrics.model_requests;
            requests.get_or_create(&label).inc();
        }
        if let (Some(engine), Some(model)) = (&self.service.engine, &self.model) {
            let meter = core.demand.entry(self.service.name.clone()).or_default();
            let objective = self.route.objective;
            let prompt_tokens = self.prompt_tokens;
            if !meter.record(engine, model, prompt_tokens, answer_tokens, objective, now) {
                log::debug!("impossible token counts of a request are ignored");
            }
        }
    }

    fn record_refusal(&self, model: &ModelLabel) {
        let refusals = &self.shared.metrics.model_refusals;
        refusals.get_or_create(model).inc();
        let mut core = self.shared.core.borrow_mut();
        if let Some(meter) = core.demand.get_mut(&self.service.name) {
            meter.record_refusal(&model.model, self.shared.now());
        }
    }

    /// Returns the identifier of the request for logs.
    pub(super) fn id(&self) -> &str {
        self.request_id.to_str().unwrap_or_default()
    }

    /// Returns the name of the client account, if the request has one.
    pub(super) fn account(&self) -> Option<&str> {
        let name = self.headers.get(&self.shared.dialect.headers().account)?;
        name.to_str().ok()
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining_time(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Creates a refusal that says when to come back, and counts it if the request has not run.
    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        let is_counted = reason.means_not_run() && self.origin != Origin::EntryHost;
        if let Some(label) = self.model_label().filter(|_| is_counted) {
            self.record_refusal(&label);
        }
        Refusal {
            reason,
            request_id: Some(self.request_id.clone()),
            retry_after: reason.retry_after(self.shared.now()),
            kind: self.kind_name(),
        }
    }

    /// Returns the name of the route's kind for logs and metrics.
    pub(super) fn kind_name(&self) -> &'static str {
        match self.route.kind {
            RouteKind::Idempotent => "idempotent",
            RouteKind::NonIdempotent => "non_idempotent",
            RouteKind::Stream { .. } => "stream",
        }
    }
}

/// Resolves the route, service and account of a request.
fn resolve<D: Dialect>(shared: &SharedState<D>, head: &Parts) -> Result<Resolved, RefusalReason> {
    let names = shared.dialect.headers();
    let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
    let table = shared
        .core
        .borrow()
        .route_table
        .clone()
        .ok_or(RefusalReason::NoConfiguration)?;
    let host = text(&HOST).unwrap_or_default();
    let route = table
        .route(host, head.uri.path())
        .ok_or_else(|| unknown_reason(shared, RefusalReason::NoRoute))?;
    let account = text(&names.account_key).and_then(|k| table.account(k));
    if table.needs_key(route) && account.is_none() {
        return Err(unknown_reason(shared, RefusalReason::UnknownKey));
    }
    let point = shared.core.borrow_mut().rng.random::<f64>();
    let services = &table.deployment().services;
    let service = route.target(point).and_then(|name| services.get(name));
    Ok(Resolved {
        route: route.clone(),
        service: service
            .cloned()
            .ok_or(RefusalReason::NoCapacity("no_service"))?,
        account: account.map(|a| a.name.clone()),
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        max_body: table.deployment().limits.max_body_bytes,
    })
}

/// Returns why a request is refused whose route or key is not known here. The refusal is final only
/// if the local view is up to date.
fn unknown_reason<D: Dialect>(shared: &SharedState<D>, unknown: RefusalReason) -> RefusalReason {
    if shared.freshness.borrow().is_outdated(shared.now()) {
        RefusalReason::OutdatedConfiguration
    } else {
        unknown
    }
}

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, RefusalReason> {
    let limited = Limited::new(body, max).collect();
    match tokio::time::timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(RefusalReason::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(RefusalReason::BodyBroken),
    }
}
