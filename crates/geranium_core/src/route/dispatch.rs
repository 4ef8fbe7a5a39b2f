//! A request in flight at a group.

use super::RouteChoice;
use crate::id::GroupId;

/// A request that is in flight at a group.
///
/// [`Router::started`](super::Router::started) creates it;
/// [`Router::finished`](super::Router::finished) or
/// [`Router::failed`](super::Router::failed) consumes it.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a request that is never ended counts as load for ever"]
pub struct Dispatch {
    pub(super) group: GroupId,
    /// Blocks that the group must compute before the first token.
    pub(super) computed_blocks: u32,
    pub(super) first_token: bool,
}

impl Dispatch {
    /// Creates the dispatch for a choice.
    pub(super) fn new(choice: &RouteChoice) -> Self {
        Self {
            group: choice.group.clone(),
            computed_blocks: choice.blocks.saturating_sub(choice.cached_blocks),
            first_token: false,
        }
    }

    /// Returns the group that the request was sent to.
    #[must_use]
    pub fn group(&self) -> &GroupId {
        &self.group
    }
}
