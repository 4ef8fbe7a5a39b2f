//! Refusals of an engine.

use geranium_engine::{EngineRefusal, RefusalEnvelope, STALE_FENCING, WRONG_GROUP};
use hyper::StatusCode;
use quick_error::quick_error;
use viz::{IntoResponse, Response};

use super::OrderRefusal;
use super::session::EarlyEnd;
use crate::http::{drop_connection, json};

quick_error! {
    /// Refusal of a call.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum CallRefusal {
        /// The request is meant for another group or fencing number.
        WrongGroup(group: String, fencing: u64) {
            display("group {:?} at fencing number {} is not served here", group, fencing)
        }
        /// The model is not loaded yet.
        Loading {
            display("the model is not loaded yet")
        }
        /// An export of KV cache does not end with a whole block.
        BrokenExport(len: usize) {
            display("an export of {} bytes does not end with a whole block", len)
        }
        /// The order is refused.
        Order(err: OrderRefusal) {
            display("{}", err)
            source(err)
            from()
        }
        /// The completion ended before its time.
        Ended(err: EarlyEnd) {
            display("{}", err)
            source(err)
            from()
        }
    }
}

impl CallRefusal {
    fn status_and_kind(&self) -> (StatusCode, &'static str) {
        match self {
            Self::WrongGroup(..) => (StatusCode::CONFLICT, WRONG_GROUP),
            Self::Loading => (StatusCode::SERVICE_UNAVAILABLE, "loading"),
            Self::BrokenExport(_) => (StatusCode::BAD_REQUEST, "malformed_body"),
            Self::Order(OrderRefusal::StaleFencing(_)) => (StatusCode::CONFLICT, STALE_FENCING),
            Self::Order(OrderRefusal::WrongHost(_)) => (StatusCode::BAD_REQUEST, "wrong_host"),
            Self::Ended(EarlyEnd::Expired) => (StatusCode::GATEWAY_TIMEOUT, "deadline_exceeded"),
            Self::Ended(EarlyEnd::Cancelled | EarlyEnd::Cut) => (StatusCode::CONFLICT, "cancelled"),
        }
    }

    fn highest(&self) -> Option<u64> {
        match self {
            Self::Order(OrderRefusal::StaleFencing(highest)) => Some(highest.0),
            _ => None,
        }
    }
}

impl IntoResponse for CallRefusal {
    fn into_response(self) -> Response {
        if self == Self::Ended(EarlyEnd::Cut) {
            return drop_connection();
        }
        let (status, kind) = self.status_and_kind();
        let error = EngineRefusal {
            kind: kind.to_owned(),
            message: self.to_string(),
            highest: self.highest(),
            retry_after_ms: None,
        };
        json(status, &RefusalEnvelope { error })
    }
}
