//! The operator token.

use geranium_net::ApiError;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use subtle::ConstantTimeEq;
use viz::Request;

use crate::node::Node;

/// Scheme of the authorization header.
const SCHEME: &str = "Bearer ";

/// Checks the operator token of a call.
///
/// # Errors
///
/// Returns a refusal if the token is missing or wrong.
pub fn check(node: &Node, req: &Request) -> Result<(), ApiError> {
    let header = req
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = header
        .and_then(|text| text.strip_prefix(SCHEME))
        .unwrap_or_default();
    let wanted = node.settings.operator_token.as_bytes();
    if token.as_bytes().ct_eq(wanted).into() {
        return Ok(());
    }
    Err(ApiError::new(
        StatusCode::UNAUTHORIZED,
        "invalid_operator_token",
        "the operator token is missing or wrong",
    ))
}
