//! Requests whose answer is passed on when it is whole.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;

use super::answer::Reason;
use super::attempt::{self, AttemptError};
use super::body::RelayBody;
use super::job::{Job, end_to_end};
use crate::dialect::Dialect;

/// Largest answer that is held until it is whole, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Shortest time that is worth another attempt.
const SHORTEST_ATTEMPT: Duration = Duration::from_millis(30);

/// Runs the attempts of a request and returns the answer.
pub(super) async fn run<D: Dialect>(mut job: Job<D>) -> Response<RelayBody> {
    let mut may_have_run = false;
    loop {
        let choice = match job.choose() {
            Ok(choice) => choice,
            Err(why) => {
                let reason = if may_have_run { Reason::Lost } else { Reason::NoCapacity(why.word()) };
                return job.refusal(reason).into_response(&job.shared);
            }
        };
        let host = choice.host;
        let sent = job.shared.now();
        let outcome = attempt_whole(&job, &host).await;
        let took = job.shared.now().since(sent);
        let good = outcome.is_ok();
        job.shared.core.borrow_mut().dispatcher.note_outcome(&host.id, good, good.then_some(took));
        let error = match outcome {
            Ok((head, body)) => {
                log::info!(
                    request = job.request_id.to_str().unwrap_or_default(), route:% = job.route.name,
                    host:% = host.id, among = choice.among, status = head.status.as_u16(), took_ms = took.as_millis() as u64;
                    "request is answered"
                );
                job.shared.metrics.note_end(job.kind_word(), "answered");
                job.shared.metrics.first_answer.observe(took.as_secs_f64());
                let mut res = Response::new(RelayBody::whole(body));
                *res.status_mut() = head.status;
                *res.headers_mut() = end_to_end(&head.headers);
                res.headers_mut().remove(CONTENT_LENGTH);
                return res;
            }
            Err(e) => e,
        };
        log::info!(
            request = job.request_id.to_str().unwrap_or_default(), route:% = job.route.name,
            host:% = host.id, among = choice.among, cause:? = error, took_ms = took.as_millis() as u64;
            "attempt failed"
        );
        let repeat = match error {
            AttemptError::NotRun(_) => true,
            AttemptError::MayHaveRun(cause) => {
                job.runs += 1;
                may_have_run = true;
                if cause == "reset" {
                    job.note_crash();
                }
                job.route.kind.may_repeat()
            }
            AttemptError::Silent | AttemptError::Deadline => {
                job.runs += 1;
                may_have_run = true;
                false
            }
        };
        let enough_time = job.left() > SHORTEST_ATTEMPT;
        if !(repeat && enough_time && job.may_retry(error.word())) {
            let reason = match error {
                AttemptError::Deadline => Reason::Late,
                _ if may_have_run => Reason::Lost,
                AttemptError::NotRun(cause) => Reason::NoCapacity(cause),
                _ => Reason::Lost,
            };
            return job.refusal(reason).into_response(&job.shared);
        }
    }
}

async fn attempt_whole<D: Dialect>(
    job: &Job<D>,
    host: &geranium_fleet::host::Host,
) -> Result<(Parts, Bytes), AttemptError> {
    let answer = attempt::send(job, host, None).await?;
    let (res, place, back) = answer.into_parts();
    let (head, body) = res.into_parts();
    let whole = Limited::new(body, MAX_ANSWER).collect();
    let body = match tokio::time::timeout(job.left(), whole).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Err(AttemptError::MayHaveRun("cut")),
        Err(_) => return Err(AttemptError::Deadline),
    };
    back.put(&job.shared.pool, job.shared.now());
    drop(place);
    Ok((head, body))
}
