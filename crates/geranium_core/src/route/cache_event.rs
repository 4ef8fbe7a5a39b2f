//! Events of an engine's prefix cache.

use serde::{Deserialize, Serialize};

use super::BlockHash;
use crate::id::GroupId;

/// Change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Blocks were stored.
    Stored(Vec<BlockHash>),
    /// Blocks were evicted.
    Evicted(Vec<BlockHash>),
    /// The whole cache was emptied.
    Cleared,
}

/// An event of a group's prefix cache. Events can be delayed or lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Group whose cache changed.
    pub group: GroupId,
    /// Generation of the group that published the event.
    pub generation: u64,
    /// Sequence number, which grows by one with each event of a generation.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}
