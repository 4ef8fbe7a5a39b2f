//! Forwarding and parsing of headers.

use hyper::Response;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::response::Parts;

use super::body::RelayBody;
use crate::dialect::HeaderNames;

/// Returns the request headers that are forwarded to backend servers.
pub(super) fn forwarded_request_headers(
    headers: &HeaderMap,
    names: &HeaderNames,
    account: Option<&str>,
) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    let replaced = [
        &names.account_key,
        &names.account,
        &names.expected_host,
        &names.deadline,
        &names.priority,
        &CONTENT_LENGTH,
    ];
    for name in replaced {
        forwarded.remove(name);
    }
    if let Some(Ok(value)) = account.map(HeaderValue::from_str) {
        forwarded.insert(names.account.clone(), value);
    }
    forwarded
}

/// Creates the response to a caller from the head of a backend server's response. Its length
/// is set anew from the body.
pub(super) fn caller_response(head: &Parts, body: RelayBody) -> Response<RelayBody> {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = end_to_end_headers(&head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res
}

/// Copies all headers except the hop-by-hop ones.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop_by_hop = matches!(
            *name,
            CONNECTION | TE | TRAILER | TRANSFER_ENCODING | UPGRADE | EXPECT
        ) || matches!(
            name.as_str(),
            "keep-alive" | "proxy-connection" | "proxy-authenticate" | "proxy-authorization"
        ) || connection_headers.contains(name);
        if !hop_by_hop {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Parses a header that contains a non-negative number.
pub(super) fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    finite(headers.get(name)?.to_str().ok()?)
}

/// Parses a number that is finite and not negative.
fn finite(text: &str) -> Option<f64> {
    let n: f64 = text.trim().parse().ok()?;
    (n.is_finite() && n >= 0.0).then_some(n)
}

/// Parses the number of prompt tokens and the maximum number of output tokens of a request;
/// what is missing or malformed counts as 0.
pub(super) fn token_counts(headers: &HeaderMap, name: &HeaderName) -> (f64, f64) {
    let text = headers
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let mut parts = text.split(',').map(|p| finite(p).unwrap_or(0.0));
    let prompt = parts.next().unwrap_or(0.0);
    (prompt, parts.next().unwrap_or(0.0))
}
