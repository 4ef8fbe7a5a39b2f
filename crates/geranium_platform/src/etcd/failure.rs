//! What failed calls and refusals of the gateway mean.

use std::net::SocketAddr;

use geranium_net::ClientError;
use hyper::StatusCode;

use super::transport::Call;
use super::wire::{CODE_NOT_FOUND, Status};
use crate::StoreError;

/// Longest part of a foreign answer that goes into an error.
const MAX_DETAIL: usize = 200;

/// Sorts a read that gave no answer.
pub(super) fn read_failure(call: Call<'_>, address: SocketAddr, e: &ClientError) -> StoreError {
    match e {
        // Another endpoint would give the same answer.
        ClientError::OversizeBody(..) => StoreError::Malformed(call.key.to_owned(), e.to_string()),
        _ => unreachable(address, e.to_string()),
    }
}

/// Makes the error of a call without effect.
pub(super) fn unreachable(address: SocketAddr, detail: String) -> StoreError {
    StoreError::Unreachable(address.to_string(), detail)
}

/// Makes the error of a client without endpoints.
pub(super) fn no_endpoint() -> StoreError {
    StoreError::Unreachable("no endpoint".to_owned(), "none is set".to_owned())
}

/// Returns whether the status tells that a write had no effect. A timeout (408)
/// or a cancelled call (499) may have taken effect.
pub(super) fn is_certain_refusal(status: StatusCode) -> bool {
    status.is_client_error() && !matches!(status.as_u16(), 408 | 499)
}

/// Reads a refusal of the service.
pub(super) fn refusal(call: Call<'_>, status: StatusCode, answer: &[u8]) -> StoreError {
    let parsed: Status = serde_json::from_slice(answer).unwrap_or_default();
    let detail = if parsed.message.is_empty() {
        excerpt(answer)
    } else {
        parsed.message
    };
    if parsed.code == CODE_NOT_FOUND {
        // The only thing that a call of this client names and that can be missing.
        return StoreError::LeaseNotFound(0);
    }
    StoreError::Refused(call.key.to_owned(), status.as_u16(), detail)
}

/// Returns the beginning of a foreign answer.
pub(super) fn excerpt(answer: &[u8]) -> String {
    let end = answer.len().min(MAX_DETAIL);
    String::from_utf8_lossy(&answer[..end]).into_owned()
}
