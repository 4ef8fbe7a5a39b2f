//! What a request asks of the router.

use super::BlockHash;
use crate::id::{AccountId, GroupId, ModelId};

/// What a request asks of the router.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Model as the caller names it.
    pub model: &'a ModelId,
    /// Client account of the caller.
    pub account: &'a AccountId,
    /// Chained block hashes of the prompt, from its start.
    pub prefix: &'a [BlockHash],
    /// Groups that already failed the request.
    pub exclude: &'a [GroupId],
    /// Whether another entry host passed the request on; it then stays in this
    /// failure domain, so that no request takes a second hop.
    pub forwarded: bool,
}
