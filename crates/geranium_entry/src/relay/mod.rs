//! One request from its head to its answer.

mod answer;
mod attempt;
mod body;
mod choosing;
mod event_reader;
mod headers;
mod held_bytes;
mod job;
mod place;
mod retry;
mod stream;
mod whole;

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};

use crate::dialect::Dialect;
use crate::state::{Phase, SharedState};

pub(crate) use body::RelayBody;

/// Answers one request of a caller.
pub(crate) async fn handle<D: Dialect>(
    shared: Rc<SharedState<D>>,
    req: Request<Incoming>,
) -> Response<RelayBody> {
    let mut res = match job::Job::admit(&shared, req).await {
        Ok(job) if job.route.kind.is_stream() => stream::run(job).await,
        Ok(job) => whole::run(job).await,
        Err(refusal) => refusal.into_response(&shared),
    };
    if *shared.phase.borrow() != Phase::Serving {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}
