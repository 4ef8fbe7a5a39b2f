//! Parsing of request headers.

use std::time::Duration;

use geranium_core::id::RequestId;
use geranium_core::time::Timestamp;
use geranium_engine::{DEADLINE_HEADER, REQUEST_HEADER};
use geranium_net::ApiError;
use hyper::HeaderMap;
use rand::Rng;

use super::refusal::invalid;

/// Maximum deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the value of a header as text.
///
/// # Errors
///
/// Returns a refusal if the value is not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| invalid("invalid_header", format!("header {name:?} is not text")))
}

/// Returns the deadline of a request.
///
/// # Errors
///
/// Returns a refusal if the value is not a number of milliseconds in the valid range.
pub fn deadline(
    headers: &HeaderMap,
    now: Timestamp,
    default: Duration,
) -> Result<Timestamp, ApiError> {
    let Some(text) = text(headers, DEADLINE_HEADER)? else {
        return Ok(now + default);
    };
    match text.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(now + Duration::from_millis(ms)),
        _ => Err(invalid(
            "invalid_deadline",
            format!("header {DEADLINE_HEADER:?} is {text:?}; valid: 1 to {MAX_DEADLINE_MS}"),
        )),
    }
}

/// Returns the ID of a request; generates one if the header is missing.
///
/// # Errors
///
/// Returns a refusal if the value is not a valid ID.
pub fn request_id(headers: &HeaderMap) -> Result<RequestId, ApiError> {
    match text(headers, REQUEST_HEADER)? {
        Some(text) => text.parse().map_err(|e| {
            invalid(
                "invalid_request_id",
                format!("header {REQUEST_HEADER:?}: {e}"),
            )
        }),
        None => Ok(RequestId::new(format!(
            "req-{:016x}",
            rand::rng().random::<u64>()
        ))),
    }
}
