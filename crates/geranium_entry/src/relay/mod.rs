//! Handling of one request, from its headers to its response.

mod active_request;
mod admission;
mod attempt;
mod body;
mod buffer_reservation;
mod buffered;
mod event_reader;
mod forward;
mod headers;
mod host_selection;
mod host_slot;
mod interim_limit;
mod next_hop;
mod refusal;
mod retry;
mod retry_after;
mod stream;
mod stream_format;

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};

use crate::dialect::Dialect;
use crate::state::{Phase, SharedState};

pub(crate) use body::RelayBody;
pub(crate) use forward::Origin;

/// Handles one request of a caller, or one that another entry host forwards.
pub(crate) async fn handle<D: Dialect>(
    shared: Rc<SharedState<D>>,
    req: Request<Incoming>,
    origin: Origin,
) -> Response<RelayBody> {
    let mut res = match active_request::ActiveRequest::admit(&shared, req, origin).await {
        Ok(request) if request.route.kind.is_stream() => stream::run(request).await,
        Ok(request) => buffered::run(request).await,
        Err(refusal) => refusal.into_response(&shared),
    };
    if origin == Origin::EntryHost {
        forward::mark_if_not_taken(&mut res);
    }
    if *shared.phase.borrow() != Phase::Serving {
        res.headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    res
}
