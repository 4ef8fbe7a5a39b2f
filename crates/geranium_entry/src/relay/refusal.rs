//! Error responses that the entry host generates itself.

use std::time::Duration;

use geranium_fleet::dispatch::NoHost;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::body::RelayBody;
use crate::dialect::Dialect;
use crate::state::SharedState;

/// Reason why the entry host generates an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The local view is outdated and has no such route or key, which a newer configuration may
    /// have.
    OutdatedConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The account key is missing or unknown.
    UnknownKey,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The body did not arrive in time or was cut off.
    BodyBroken,
    /// The request has no identifier.
    Malformed,
    /// The request, or others with a part of its prompt, crashed backend servers; it is not
    /// executed, and requests like it are not for the given time.
    CrashesServers(Duration),
    /// No backend server can be selected now; the request was not executed.
    NoHost(NoHost),
    /// Backend servers rejected the request; it was not executed.
    NoCapacity(&'static str),
    /// The process exits before the request could finish.
    Leaving,
    /// The deadline passed; the request may have been executed.
    DeadlineExceeded,
    /// A backend server failed; the request may have been executed.
    BackendFailed,
}

impl RefusalReason {
    /// Returns the name for logs, metrics and the response body.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::OutdatedConfiguration => "outdated_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLong => "body_too_long",
            Self::BodyBroken => "body_broken",
            Self::Malformed => "malformed",
            Self::CrashesServers(_) => "crashes_servers",
            Self::NoHost(why) => why.as_str(),
            Self::NoCapacity(word) => word,
            Self::Leaving => "leaving",
            Self::DeadlineExceeded => "late",
            Self::BackendFailed => "lost",
        }
    }

    /// Returns whether the request has not run and never will, so that its caller may repeat it.
    pub(super) fn means_not_run(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoConfiguration
            | Self::OutdatedConfiguration
            | Self::CrashesServers(_)
            | Self::NoHost(_)
            | Self::NoCapacity(_)
            | Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed => StatusCode::BAD_GATEWAY,
        }
    }
}

/// An error response of the entry host to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Reason of the refusal.
    pub(crate) reason: RefusalReason,
    /// Identifier of the request, if it has one.
    pub(crate) request_id: Option<HeaderValue>,
    /// Time after which a retry by the caller may succeed, if ever.
    pub(crate) retry_after: Option<Duration>,
    /// Name of the route's kind.
    pub(crate) kind: &'static str,
}

impl Refusal {
    /// Logs and counts the refusal and creates the response.
    pub(crate) fn into_response<D: Dialect>(self, shared: &SharedState<D>) -> Response<RelayBody> {
        let status = self.reason.status();
        shared
            .metrics
            .record_outcome(self.kind, self.reason.as_str());
        let id = self.request_id.as_ref().and_then(|v| v.to_str().ok());
        log::info!(
            request = id, status = status.as_u16(), reason = self.reason.as_str(),
            retry_after_ms = self.retry_after.map(|d| d.as_millis() as u64),
            version = shared.version(), revision = shared.revision.get().map(|r| r.0),
            store_away = shared.store_unreachable.get();
            "request is answered by the entry host"
        );
        let mut res = Response::new(RelayBody::buffered(self.reason.as_str()));
        *res.status_mut() = status;
        res.extensions_mut().insert(self.reason);
        if let Some(id) = self.request_id {
            res.headers_mut()
                .insert(shared.dialect.headers().request_id.clone(), id);
        }
        if let Some(after) = self.retry_after {
            let text = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        res
    }
}
