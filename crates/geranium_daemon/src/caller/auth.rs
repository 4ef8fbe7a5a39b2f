//! Authentication of client accounts and entry hosts.

use geranium_net::ApiError;
use subtle::ConstantTimeEq;
use viz::Request;

use super::{PEER_TOKEN_HEADER, refusal};
use crate::bearer::bearer_token;
use crate::node::Node;
use crate::traffic::AuthenticatedAccount;

/// Returns the client account that the key of a request belongs to.
///
/// # Errors
///
/// Returns a refusal if the key is missing or unknown.
pub fn authenticate_account(node: &Node, req: &Request) -> Result<AuthenticatedAccount, ApiError> {
    bearer_token(req)
        .and_then(|key| node.traffic.account_for_key(key))
        .ok_or_else(refusal::unknown_account)
}

/// Checks the token of another entry host.
///
/// # Errors
///
/// Returns a refusal if the token is missing or wrong.
pub fn authenticate_peer(node: &Node, req: &Request) -> Result<(), ApiError> {
    let token = req
        .headers()
        .get(PEER_TOKEN_HEADER)
        .map(hyper::header::HeaderValue::as_bytes);
    let expected = node.settings.peer_token.as_bytes();
    if token.unwrap_or_default().ct_eq(expected).into() {
        return Ok(());
    }
    Err(refusal::unknown_account())
}
