//! Requests whose response is buffered completely before it is forwarded.

use std::time::Duration;

use bytes::Bytes;
use geranium_fleet::dispatch::Choice;
use geranium_fleet::host::Host;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;

use super::active_request::ActiveRequest;
use super::attempt::{self, AttemptError};
use super::body::RelayBody;
use super::buffer_reservation::BufferReservation;
use super::headers::end_to_end_headers;
use super::host_slot::{HostSlot, SelectedHost};
use super::refusal::Refusal;
use crate::dialect::Dialect;

/// Runs the attempts of a request and returns the response.
pub(super) async fn run<D: Dialect>(mut request: ActiveRequest<D>) -> Response<RelayBody> {
    let mut failure: Option<Response<RelayBody>> = None;
    loop {
        let SelectedHost { choice, slot } = match request.select_host() {
            Ok(chosen) => chosen,
            Err(why) => return failure_or_refusal(&request, failure, request.no_host_refusal(why)),
        };
        let sent = request.shared.now();
        let outcome = attempt_buffered(&request, &choice.host, slot).await;
        let took = request.shared.now().since(sent);
        match outcome {
            Ok((head, body)) => {
                let failed = head.status.is_server_error();
                let res = respond(&request, &choice, took, &head, body);
                if !failed || !request.may_retry_after_server_error() {
                    return res;
                }
                failure = Some(res);
            }
            Err(e) => {
                if let Err(refusal) = request.handle_failure(&choice.host, e).await {
                    return failure_or_refusal(&request, failure, refusal);
                }
            }
        }
    }
}

/// Prefers an error response of a backend server, as it is more specific than a refusal.
fn failure_or_refusal<D: Dialect>(
    request: &ActiveRequest<D>,
    failure: Option<Response<RelayBody>>,
    refusal: Refusal,
) -> Response<RelayBody> {
    failure.unwrap_or_else(|| refusal.into_response(&request.shared))
}

fn respond<D: Dialect>(
    request: &ActiveRequest<D>,
    choice: &Choice,
    took: Duration,
    head: &Parts,
    body: Bytes,
) -> Response<RelayBody> {
    log::info!(
        request = request.id(), route:% = request.route.name,
        account = request.account(), host:% = choice.host.id, among = choice.candidates, load = choice.load,
        load_age_ms = choice.load_age.as_millis() as u64, status = head.status.as_u16(),
        took_ms = took.as_millis() as u64;
        "request is answered"
    );
    {
        let mut core = request.shared.core.borrow_mut();
        core.dispatcher
            .record_outcome(&choice.host.id, true, Some(took));
    }
    request.record_answer();
    request
        .shared
        .metrics
        .record_outcome(request.kind_name(), "answered");
    request.shared.metrics.record_attempt("answered");
    request
        .shared
        .metrics
        .first_answer
        .observe(took.as_secs_f64());
    let mut res = Response::new(RelayBody::buffered(body));
    *res.status_mut() = head.status;
    *res.headers_mut() = end_to_end_headers(&head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res
}

async fn attempt_buffered<D: Dialect>(
    request: &ActiveRequest<D>,
    host: &Host,
    slot: HostSlot<D>,
) -> Result<(Parts, Bytes), AttemptError> {
    let response = attempt::send(request, host, slot, None).await?;
    let (res, slot, connection) = response.into_parts();
    let (head, body) = res.into_parts();
    let mut reservation = BufferReservation::new(&request.shared);
    let body =
        match tokio::time::timeout(request.remaining_time(), reservation.read_to_end(body)).await {
            Ok(body) => body?,
            Err(_) => return Err(AttemptError::Deadline),
        };
    connection.return_to(&request.shared.pool, request.shared.now());
    drop(slot);
    Ok((head, body))
}
