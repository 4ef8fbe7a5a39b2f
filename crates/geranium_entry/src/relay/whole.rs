//! Requests whose answer is passed on when it is whole.

use std::time::Duration;

use bytes::Bytes;
use geranium_fleet::dispatch::Choice;
use geranium_fleet::host::Host;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;

use super::answer::Refusal;
use super::attempt::{self, AttemptError};
use super::body::RelayBody;
use super::headers::end_to_end;
use super::held_bytes::HeldBytes;
use super::job::Job;
use super::place::{Chosen, Place};
use crate::dialect::Dialect;

/// Runs the attempts of a request and returns the answer.
pub(super) async fn run<D: Dialect>(mut job: Job<D>) -> Response<RelayBody> {
    let mut failure: Option<Response<RelayBody>> = None;
    loop {
        let Chosen { choice, place } = match job.choose() {
            Ok(chosen) => chosen,
            Err(why) => return or_refusal(&job, failure, job.no_host(why)),
        };
        let sent = job.shared.now();
        let outcome = attempt_whole(&job, &choice.host, place).await;
        let took = job.shared.now().since(sent);
        match outcome {
            Ok((head, body)) => {
                let failed = head.status.is_server_error();
                let res = answer(&job, &choice, took, &head, body);
                if !failed || !job.may_try_after_error() {
                    return res;
                }
                failure = Some(res);
            }
            Err(e) => {
                if let Err(refusal) = job.after_failure(&choice.host, e) {
                    return or_refusal(&job, failure, refusal);
                }
            }
        }
    }
}

/// Returns a server's own failure if there was one, which says more than a refusal.
fn or_refusal<D: Dialect>(
    job: &Job<D>,
    failure: Option<Response<RelayBody>>,
    refusal: Refusal,
) -> Response<RelayBody> {
    failure.unwrap_or_else(|| refusal.into_response(&job.shared))
}

fn answer<D: Dialect>(
    job: &Job<D>,
    choice: &Choice,
    took: Duration,
    head: &Parts,
    body: Bytes,
) -> Response<RelayBody> {
    log::info!(
        request = job.id(), route:% = job.route.name,
        account = job.account(), host:% = choice.host.id, among = choice.candidates, load = choice.load,
        load_age_ms = choice.load_age.as_millis() as u64, status = head.status.as_u16(),
        took_ms = took.as_millis() as u64;
        "request is answered"
    );
    {
        let mut core = job.shared.core.borrow_mut();
        core.dispatcher
            .note_outcome(&choice.host.id, true, Some(took));
        core.crashes.answered(job.fingerprint);
    }
    job.shared
        .metrics
        .record_outcome(job.kind_word(), "answered");
    job.shared.metrics.record_attempt("answered");
    job.shared.metrics.first_answer.observe(took.as_secs_f64());
    let mut res = Response::new(RelayBody::whole(body));
    *res.status_mut() = head.status;
    *res.headers_mut() = end_to_end(&head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res
}

async fn attempt_whole<D: Dialect>(
    job: &Job<D>,
    host: &Host,
    place: Place<D>,
) -> Result<(Parts, Bytes), AttemptError> {
    let answer = attempt::send(job, host, place, None).await?;
    let (res, place, back) = answer.into_parts();
    let (head, body) = res.into_parts();
    let mut held = HeldBytes::new(&job.shared);
    let body = match tokio::time::timeout(job.left(), held.read_whole(body)).await {
        Ok(body) => body?,
        Err(_) => return Err(AttemptError::Deadline),
    };
    back.put(&job.shared.pool, job.shared.now());
    drop(place);
    Ok((head, body))
}
