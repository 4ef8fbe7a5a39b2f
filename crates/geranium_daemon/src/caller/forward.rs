//! Completions that another entry host passed on.

use std::sync::Arc;

use geranium_core::id::AccountId;
use geranium_net::{ApiError, read_body};
use viz::{Request, Response, Result};

use super::chat::{check, serve};
use super::{ACCOUNT_HEADER, auth, headers, refusal};
use crate::node::Node;
use crate::traffic::AccountKeys;

/// Answers a completion that another entry host passed on; it takes no further hop.
pub async fn completions(node: Arc<Node>, mut req: Request) -> Result<Response> {
    auth::peer(&node, &req)?;
    let now = node.clock.now();
    let account = account(&node, &req)?;
    let deadline = headers::deadline(req.headers(), now, node.settings.default_deadline)?;
    let request = headers::request_id(req.headers())?;
    let body = read_body(&mut req, node.settings.max_body)
        .await
        .map_err(ApiError::not_run)?;
    let mut completion = check(&node, account, request, deadline, &body)?;
    completion.relay.forwarded = true;
    if node.is_stopping() {
        return Err(refusal::stopping().into());
    }
    Ok(serve(&node, completion).await?)
}

fn account(node: &Node, req: &Request) -> std::result::Result<AccountKeys, ApiError> {
    let name = headers::text(req.headers(), ACCOUNT_HEADER)?.unwrap_or_default();
    let account: AccountId = name.parse().map_err(|_| refusal::unknown_account())?;
    let view = node.published.view();
    let spec = view
        .records
        .account(&account)
        .ok_or_else(refusal::unknown_account)?;
    Ok(AccountKeys {
        account,
        priority: spec.priority,
    })
}
