//! Error responses for callers.
//!
//! A response with `"ran": false` states that this attempt was not run. Without that
//! field, the attempt may have run partially.

use std::time::Duration;

use geranium_core::limit::AdmissionRefusal;
use geranium_core::route::RouteRefusal;
use geranium_core::stream::StreamError;
use geranium_net::ApiError;
use hyper::StatusCode;

/// Retry delay sent to callers while no group can take their request.
const NO_GROUP_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the refusal of an invalid request.
pub fn invalid(kind: &str, message: impl Into<String>) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, kind, message).not_run()
}

/// Returns the refusal for a missing or unknown account key.
pub fn unknown_account() -> ApiError {
    let message = "the account key is missing or unknown";
    ApiError::new(StatusCode::UNAUTHORIZED, "unknown_account", message).not_run()
}

/// Returns the refusal for a model that no record serves.
pub fn unknown_model(model: &str) -> ApiError {
    let message = format!("model {model:?} does not exist");
    ApiError::new(StatusCode::NOT_FOUND, "unknown_model", message).not_run()
}

/// Returns the refusal for an account that may not use a model or service.
pub fn not_allowed(account: &str, what: &str) -> ApiError {
    let message = format!("client account {account:?} may not use {what:?}");
    ApiError::new(StatusCode::FORBIDDEN, "not_allowed", message).not_run()
}

/// Returns the refusal of an entry host that is shutting down.
pub fn stopping() -> ApiError {
    let message = "this entry host is shutting down; send the request to another one";
    ApiError::new(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
        .not_run()
        .retry_after(Duration::from_millis(100))
}

/// Converts a refusal of admission.
pub fn admission(e: &AdmissionRefusal) -> ApiError {
    let (status, kind) = match e {
        AdmissionRefusal::UnknownAccount(_) => (StatusCode::FORBIDDEN, "not_allowed"),
        AdmissionRefusal::DeadlinePassed(_) => (StatusCode::GATEWAY_TIMEOUT, "deadline_passed"),
        AdmissionRefusal::Overloaded(..) => (StatusCode::TOO_MANY_REQUESTS, "overloaded"),
        AdmissionRefusal::QueueFull(..) => (StatusCode::TOO_MANY_REQUESTS, "queue_full"),
        AdmissionRefusal::NoCapacity(..) => (StatusCode::SERVICE_UNAVAILABLE, "no_capacity"),
    };
    let refusal = ApiError::new(status, kind, e.to_string()).not_run();
    match e.retry_after() {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}

/// Converts a refusal of the router.
pub fn route(e: &RouteRefusal, may_have_run: bool) -> ApiError {
    let (status, kind) = match e {
        RouteRefusal::NotAllowed(..) => (StatusCode::FORBIDDEN, "not_allowed"),
        RouteRefusal::NoGroup(_) | RouteRefusal::Unavailable(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, "no_group")
        }
        RouteRefusal::Saturated(_) => (StatusCode::TOO_MANY_REQUESTS, "overloaded"),
        RouteRefusal::NoColdCredit(_) => (StatusCode::SERVICE_UNAVAILABLE, "cold_start"),
    };
    let refusal = ApiError::new(status, kind, e.to_string()).retry_after(NO_GROUP_RETRY_AFTER);
    if may_have_run {
        interrupted(&refusal.message)
    } else {
        refusal.not_run()
    }
}

/// Returns the failure of a request whose deadline passed.
pub fn deadline_passed(may_have_run: bool) -> ApiError {
    let refusal = ApiError::new(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline_passed",
        "the deadline passed before the answer was complete",
    );
    if may_have_run {
        refusal
    } else {
        refusal.not_run()
    }
}

/// Returns the failure of a request that the retry budget does not allow to retry.
pub fn retries_exhausted(may_have_run: bool) -> ApiError {
    let message = "the group failed and the retry budget is empty";
    let refusal = ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "retries_exhausted",
        message,
    )
    .retry_after(NO_GROUP_RETRY_AFTER);
    if may_have_run {
        interrupted(message)
    } else {
        refusal.not_run()
    }
}

/// Returns the failure of an interrupted answer.
pub fn interrupted(message: &str) -> ApiError {
    ApiError::new(StatusCode::BAD_GATEWAY, "interrupted", message).retry_after(NO_GROUP_RETRY_AFTER)
}

/// Returns the failure of an answer for which there is no memory.
pub fn no_memory() -> ApiError {
    let message = "the answer does not fit into the memory for answers";
    ApiError::new(StatusCode::BAD_GATEWAY, "no_memory", message)
}

/// Returns the refusal of a request that crashed backend servers.
pub fn crashes_servers() -> ApiError {
    let message = "the request crashed two replica groups and is not run again";
    ApiError::new(
        StatusCode::UNPROCESSABLE_ENTITY,
        "request_crashes_servers",
        message,
    )
}

/// Converts the failure of a stream.
pub fn stream(e: &StreamError) -> ApiError {
    let kind = match e {
        StreamError::ReaderTooSlow(..) => "reader_too_slow",
        StreamError::Replica(..) => "replica_failed",
        _ => "interrupted",
    };
    ApiError::new(StatusCode::BAD_GATEWAY, kind, e.to_string())
}
