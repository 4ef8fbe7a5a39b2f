//! A single attempt at a single backend server.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_fleet::attempts::Failure;
use geranium_fleet::notice::{LimitNotice, ServerNotice};
use geranium_net::is_protocol_status;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_ENCODING, HeaderValue};
use hyper::{Request, Response, StatusCode};

use super::active_request::ActiveRequest;
use super::forward;
use super::host_slot::HostSlot;
use super::interim_limit::InterimLimit;
use super::next_hop::NextHop;
use crate::dialect::Dialect;
use crate::pool::{Connection, ConnectionPool, idle_timeout};

/// Failure cause if a backend server rejected an attempt and asked for a pause.
pub(super) const PAUSED: &str = "paused";

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The request was certainly not executed.
    NotRun(&'static str),
    /// Another entry host did not take the request; it was certainly not executed.
    NotTaken(&'static str),
    /// The request may have been executed.
    MayHaveRun(&'static str),
    /// The backend server became silent; the request may have been executed.
    Silent,
    /// The deadline passed after the request was sent.
    Deadline,
}

impl AttemptError {
    /// Returns the failure class that determines whether a retry is allowed.
    pub(super) const fn failure(self) -> Failure {
        match self {
            Self::NotRun(_) | Self::NotTaken(_) => Failure::NotRun,
            Self::MayHaveRun(_) | Self::Silent => Failure::MayHaveRun,
            Self::Deadline => Failure::Deadline,
        }
    }

    /// Returns whether the connection broke while the request may have been executed.
    pub(super) fn is_disconnect(self) -> bool {
        matches!(self, Self::MayHaveRun("reset" | "cut" | "partial_event"))
    }

    /// Returns whether the request did not reach its backend server.
    pub(super) fn is_unreached(self) -> bool {
        matches!(self, Self::NotRun("connect" | "silent"))
    }

    /// Returns whether this entry host may have lost its path to the backend servers.
    pub(super) fn may_lack_path(self) -> bool {
        self.is_unreached() || matches!(self, Self::Silent | Self::Deadline)
    }

    /// Returns the cause for logs and metrics.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(cause) | Self::NotTaken(cause) | Self::MayHaveRun(cause) => cause,
            Self::Silent => "silent",
            Self::Deadline => "late",
        }
    }
}

/// A response whose headers have arrived.
pub(super) struct BackendResponse<D: Dialect> {
    /// Headers and unread body.
    pub(super) res: Response<Incoming>,
    /// Slot at the backend server.
    pub(super) slot: HostSlot<D>,
    /// The sender of the response.
    pub(super) hop: NextHop,
    sender: SendRequest<Full<Bytes>>,
    idle_for: Option<Duration>,
}

impl<D: Dialect> BackendResponse<D> {
    /// Splits the response into the parts needed to read its body.
    pub(super) fn into_parts(self) -> (Response<Incoming>, HostSlot<D>, ReusableConnection) {
        let connection = ReusableConnection {
            sender: self.sender,
            hop: self.hop,
            idle_for: self.idle_for,
        };
        (self.res, self.slot, connection)
    }
}

/// A connection that can go back to the pool once its response was read completely.
pub(super) struct ReusableConnection {
    sender: SendRequest<Full<Bytes>>,
    hop: NextHop,
    idle_for: Option<Duration>,
}

impl ReusableConnection {
    pub(super) fn return_to(self, pool: &ConnectionPool, now: Timestamp) {
        pool.put(
            self.hop.id(),
            self.hop.address(),
            self.sender,
            self.idle_for,
            now,
        );
    }
}

/// Sends a request to its receiver and waits for the response headers.
pub(super) async fn send<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    slot: HostSlot<D>,
    last_event_id: Option<u64>,
) -> Result<BackendResponse<D>, AttemptError> {
    let reroute_signal = slot.guard.reroute_signal();
    let written = Cell::new(false);
    let sent_at = request.shared.now();
    let interim = InterimLimit::default();
    let sending = send_on_connection(request, hop, last_event_id, &written, &interim);
    let (res, sender) = tokio::select! {
        sent = sending => sent?,
        () = interim.exceeded() => return Err(AttemptError::MayHaveRun("informational")),
        () = reroute_signal.notified() => return Err(abandoned_attempt_error(&written, AttemptError::Silent)),
        () = tokio::time::sleep(request.remaining_time()) => return Err(abandoned_attempt_error(&written, AttemptError::Deadline)),
    };
    slot.guard.record_activity(false, request.shared.now());
    check_hop_response(request, hop, &res, sent_at)?;
    let idle_for = idle_timeout(res.headers());
    Ok(BackendResponse {
        res,
        slot,
        hop: hop.clone(),
        sender,
        idle_for,
    })
}

/// Returns the failure of an abandoned attempt. If no byte of the request was written, it
/// was certainly not executed.
fn abandoned_attempt_error(written: &Cell<bool>, error: AttemptError) -> AttemptError {
    if written.get() {
        error
    } else {
        AttemptError::NotRun(error.as_str())
    }
}

type ResponseWithSender = (Response<Incoming>, SendRequest<Full<Bytes>>);

async fn send_on_connection<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    last_event_id: Option<u64>,
    written: &Cell<bool>,
    interim: &InterimLimit,
) -> Result<ResponseWithSender, AttemptError> {
    let mut req = build_request(request, hop, last_event_id)?;
    interim.watch(&mut req);
    if let Some(connection) =
        request
            .shared
            .pool
            .take(hop.id(), hop.address(), request.shared.now())
    {
        written.set(true);
        match send_once(connection, req).await {
            SendOutcome::Response(sent) => return Ok(sent),
            SendOutcome::NotSent(unsent) => {
                written.set(false);
                req = unsent;
            }
            SendOutcome::Failed(e) => return Err(e),
        }
    }
    let connection = ConnectionPool::connect(hop.address()).await.map_err(|e| {
        log::info!(host:% = hop.id(); "{e}");
        not_sent_error(hop, "connect")
    })?;
    written.set(true);
    match send_once(connection, req).await {
        SendOutcome::Response(sent) => Ok(sent),
        SendOutcome::NotSent(_) => Err(not_sent_error(hop, "connection_closed")),
        SendOutcome::Failed(e) => Err(e),
    }
}

/// Returns the failure of an attempt of which nothing was sent.
const fn not_sent_error(hop: &NextHop, cause: &'static str) -> AttemptError {
    if hop.is_entry_host() {
        AttemptError::NotTaken(cause)
    } else {
        AttemptError::NotRun(cause)
    }
}

enum SendOutcome {
    Response(ResponseWithSender),
    NotSent(Request<Full<Bytes>>),
    Failed(AttemptError),
}

async fn send_once(connection: Connection, req: Request<Full<Bytes>>) -> SendOutcome {
    let mut sender = connection.sender;
    match sender.try_send_request(req).await {
        Ok(res) => SendOutcome::Response((res, sender)),
        Err(mut e) => match e.take_message() {
            Some(req) => SendOutcome::NotSent(req),
            None => {
                log::debug!(reused = connection.reused; "connection failed while a request was in flight: {}", e.error());
                SendOutcome::Failed(AttemptError::MayHaveRun("reset"))
            }
        },
    }
}

fn build_request<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let names = request.shared.dialect.headers();
    let path = request.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = path.parse().map_err(|_| AttemptError::NotRun("path"))?;
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(
        names.deadline.clone(),
        HeaderValue::from(request.remaining_time().as_millis() as u64),
    );
    if let Some(last) = last_event_id {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
    }
    if hop.is_entry_host() {
        request.add_forward_headers(&mut req);
        return Ok(req);
    }
    let id = HeaderValue::from_str(hop.id()).map_err(|_| AttemptError::NotRun("host_id"))?;
    headers.insert(names.expected_host.clone(), id);
    Ok(req)
}

/// Checks a response and applies what its sender says of itself in it.
fn check_hop_response<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    res: &Response<Incoming>,
    sent_at: Timestamp,
) -> Result<(), AttemptError> {
    let Some(host) = hop.server() else {
        if let Some(not_taken) = forward::not_taken_error(res) {
            return Err(not_taken);
        }
        check_response(request, res, ServerNotice::default())?;
        request.record_forwarding(hop.id(), None);
        return Ok(());
    };
    let shared = &request.shared;
    let notice = shared.dialect.headers().notice(res);
    shared.apply_notice(&host.id, host.incarnation, notice, Some(request.id()));
    check_response(request, res, notice)?;
    if notice.limit == LimitNotice::Unlimited && is_signed(request, res) {
        shared.record_unlimited(&host.id, host.incarnation, sent_at);
    }
    Ok(())
}

/// Returns whether a response bears the signature of a backend server.
fn is_signed<D: Dialect>(request: &ActiveRequest<D>, res: &Response<Incoming>) -> bool {
    let names = request.shared.dialect.headers();
    res.headers().contains_key(&names.signature)
}

/// Checks that a response belongs to the request and may be forwarded.
fn check_response<D: Dialect>(
    request: &ActiveRequest<D>,
    res: &Response<Incoming>,
    notice: ServerNotice,
) -> Result<(), AttemptError> {
    let names = request.shared.dialect.headers();
    let headers = res.headers();
    if headers.get(&names.request_id) != Some(&request.request_id) {
        return Err(AttemptError::MayHaveRun("foreign_answer"));
    }
    if !is_protocol_status(res.status()) {
        return Err(AttemptError::MayHaveRun("odd_status"));
    }
    // No request asks for another protocol, and to a caller it would be no final response.
    if res.status().is_informational() {
        return Err(AttemptError::MayHaveRun("informational"));
    }
    if headers.contains_key(&names.not_run) {
        let cause = if notice.pause.is_some() {
            PAUSED
        } else {
            "shed"
        };
        return Err(AttemptError::NotRun(cause));
    }
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(AttemptError::NotRun("misdirected"));
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err(AttemptError::MayHaveRun("encoded"));
    }
    if res.status().is_success() && !is_signed(request, res) {
        return Err(AttemptError::MayHaveRun("unsigned"));
    }
    Ok(())
}
