//! Requests whose response is buffered completely before it is forwarded.

use std::time::Duration;

use bytes::Bytes;
use geranium_net::BodyFraming;
use hyper::Response;
use hyper::http::response::Parts;

use super::active_request::ActiveRequest;
use super::attempt::{self, AttemptError};
use super::body::RelayBody;
use super::buffer_reservation::BufferReservation;
use super::headers::caller_response;
use super::host_slot::{HostSlot, SelectedHop};
use super::next_hop::NextHop;
use super::refusal::Refusal;
use crate::dialect::Dialect;

/// Runs the attempts of a request and returns the response.
pub(super) async fn run<D: Dialect>(mut request: ActiveRequest<D>) -> Response<RelayBody> {
    let mut failure: Option<Response<RelayBody>> = None;
    loop {
        let SelectedHop { hop, slot } = match request.select_hop() {
            Ok(chosen) => chosen,
            Err(why) => return failure_or_refusal(&request, failure, request.no_host_refusal(why)),
        };
        let sent = request.shared.now();
        let outcome = attempt_buffered(&request, &hop, slot).await;
        let took = request.shared.now().since(sent);
        match outcome {
            Ok((head, body)) => {
                let failed = head.status.is_server_error();
                let res = respond(&request, &hop, took, &head, body);
                // Another entry host has retried already.
                let is_final = !failed || hop.is_entry_host();
                if is_final || !request.may_retry_after_server_error() {
                    return res;
                }
                failure = Some(res);
            }
            Err(e) => {
                if let Err(refusal) = request.handle_failure(&hop, e).await {
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
    hop: &NextHop,
    took: Duration,
    head: &Parts,
    body: Bytes,
) -> Response<RelayBody> {
    log::info!(
        request = request.id(), route:% = request.route.name,
        account = request.account(), host:% = hop.id(), among = hop.candidates(), load = hop.load(),
        load_age_ms = hop.load_age().map(|d| d.as_millis() as u64), status = head.status.as_u16(),
        took_ms = took.as_millis() as u64;
        "request is answered"
    );
    {
        let mut core = request.shared.core.borrow_mut();
        core.dispatcher.record_outcome(hop.id(), true, Some(took));
    }
    request.record_answer();
    request
        .shared
        .metrics
        .record_outcome(request.kind_name(), hop.answered_outcome());
    request.shared.metrics.record_first_answer(took);
    caller_response(head, RelayBody::buffered(body))
}

async fn attempt_buffered<D: Dialect>(
    request: &ActiveRequest<D>,
    hop: &NextHop,
    slot: HostSlot<D>,
) -> Result<(Parts, Bytes), AttemptError> {
    let response = attempt::send(request, hop, slot, None).await?;
    let (res, slot, connection) = response.into_parts();
    let framing = BodyFraming::of(&res);
    let (head, body) = res.into_parts();
    let mut reservation = BufferReservation::new(&request.shared.response_memory);
    let read = reservation.read_to_end(body, framing);
    let body = match tokio::time::timeout(request.remaining_time(), read).await {
        Ok(body) => body?,
        Err(_) => return Err(AttemptError::Deadline),
    };
    connection.return_to(&request.shared.pool, request.shared.now());
    drop(slot);
    Ok((head, body))
}
