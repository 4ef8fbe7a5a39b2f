//! Handler for completions forwarded by another entry host.

use std::sync::Arc;

use geranium_core::id::AccountId;
use geranium_net::ApiError;
use viz::{Request, Response, Result};

use super::chat::{read_completion_for, serve};
use super::{ACCOUNT_HEADER, auth, headers, refusal};
use crate::node::Node;
use crate::traffic::AuthenticatedAccount;

/// Handles a completion forwarded by another entry host; it is not forwarded again.
pub async fn completions(node: Arc<Node>, mut req: Request) -> Result<Response> {
    auth::authenticate_peer(&node, &req)?;
    let account = forwarded_account(&node, &req)?;
    let mut completion = read_completion_for(&node, &mut req, account).await?;
    completion.relay.forwarded = true;
    Ok(serve(&node, completion).await?)
}

fn forwarded_account(
    node: &Node,
    req: &Request,
) -> std::result::Result<AuthenticatedAccount, ApiError> {
    let name = headers::text(req.headers(), ACCOUNT_HEADER)?.unwrap_or_default();
    let account: AccountId = name.parse().map_err(|_| refusal::unknown_account())?;
    let view = node.published.view();
    let spec = view
        .records
        .account(&account)
        .ok_or_else(refusal::unknown_account)?;
    Ok(AuthenticatedAccount {
        account,
        priority: spec.priority,
    })
}
