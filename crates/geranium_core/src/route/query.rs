//! Input of a routing decision.

use super::BlockHash;
use crate::id::{AccountId, GroupId, ModelId};

/// The properties of a request that determine its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Model name in the request.
    pub model: &'a ModelId,
    /// Client account of the caller.
    pub account: &'a AccountId,
    /// Chained block hashes of the prompt, from its start.
    pub prefix: &'a [BlockHash],
    /// Groups that must not be chosen, because they have already failed the request.
    pub exclude: &'a [GroupId],
    /// Whether another entry host forwarded the request. It is then routed within
    /// this failure domain only, so that no request takes a second hop.
    pub forwarded: bool,
}
