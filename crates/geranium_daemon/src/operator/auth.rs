//! Authentication of operators.

use geranium_net::ApiError;
use hyper::StatusCode;
use subtle::ConstantTimeEq;
use viz::Request;

use crate::bearer::bearer_token;
use crate::node::Node;

/// Checks the operator token of a request, in constant time.
///
/// # Errors
///
/// Returns an error if the token is missing or wrong.
pub fn check_token(node: &Node, req: &Request) -> Result<(), ApiError> {
    let token = bearer_token(req).unwrap_or_default();
    let expected = node.settings.operator_token.as_bytes();
    if token.as_bytes().ct_eq(expected).into() {
        return Ok(());
    }
    Err(ApiError::new(
        StatusCode::UNAUTHORIZED,
        "invalid_operator_token",
        "the operator token is missing or wrong",
    ))
}
