//! Refusals of the stand-in.

use geranium_platform::etcd::wire::{
    CODE_NOT_FOUND, CODE_RESOURCE_EXHAUSTED, CODE_UNAVAILABLE, Status,
};
use hyper::StatusCode;
use quick_error::quick_error;
use viz::{IntoResponse, Response};

use crate::http::json;

/// gRPC code for an argument that is not valid.
const CODE_INVALID_ARGUMENT: u32 = 3;

quick_error! {
    /// Refusal of a call, with the texts of etcd.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The lease does not exist.
        LeaseNotFound {
            display("etcdserver: requested lease not found")
        }
        /// The rate limit is used up.
        TooManyRequests {
            display("etcdserver: too many requests")
        }
        /// The service was told to refuse.
        Unavailable {
            display("etcdserver: no leader")
        }
        /// A transaction writes one key twice.
        DuplicateKey {
            display("etcdserver: duplicate key given in txn request")
        }
        /// The body is not valid, or asks for what the stand-in leaves out.
        Invalid(detail: String) {
            display("{}", detail)
        }
    }
}

impl PlatformError {
    fn status(&self) -> (StatusCode, u32) {
        match self {
            Self::LeaseNotFound => (StatusCode::NOT_FOUND, CODE_NOT_FOUND),
            Self::TooManyRequests => (StatusCode::TOO_MANY_REQUESTS, CODE_RESOURCE_EXHAUSTED),
            Self::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, CODE_UNAVAILABLE),
            Self::DuplicateKey | Self::Invalid(_) => {
                (StatusCode::BAD_REQUEST, CODE_INVALID_ARGUMENT)
            }
        }
    }
}

impl IntoResponse for PlatformError {
    fn into_response(self) -> Response {
        let (status, code) = self.status();
        let body = Status {
            code,
            message: self.to_string(),
        };
        json(status, &body)
    }
}
