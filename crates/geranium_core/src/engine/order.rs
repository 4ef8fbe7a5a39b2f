//! Orders to engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, GroupId, HostId};

/// A member of a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Host of the member.
    pub host: HostId,
    /// Address of the member's engine.
    pub address: SocketAddr,
}

/// The model that a group member has to load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Group that the host joins.
    pub group: GroupId,
    /// Name of the weights.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters to load with the weights, sorted.
    pub adapters: Vec<String>,
    /// Rank of the host among the members; rank 0 receives requests.
    pub rank: u32,
    /// All members of the group, by rank.
    pub members: Vec<Member>,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Join a group and load its model.
    Load(LoadOrder),
    /// Leave the group and free the accelerators.
    Release,
    /// Only record the fencing number.
    Fence,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Host that the order is for.
    pub host: HostId,
    /// Fencing number; an engine that checks it rejects an order with a lower number
    /// than it has seen.
    pub fencing: FencingNumber,
    /// Requested action.
    #[serde(flatten)]
    pub action: OrderAction,
}
