//! Orders to engines.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{FencingNumber, GroupId, HostId};

/// A member of a replica group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Host of the member.
    pub host: HostId,
    /// Address of its engine.
    pub address: SocketAddr,
}

/// What a member of a group is to load.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Group that the host joins.
    pub group: GroupId,
    /// Name of the weights.
    pub model: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters to load beside the weights, sorted.
    pub adapters: Vec<String>,
    /// Position of the host among the members; rank 0 takes requests.
    pub rank: u32,
    /// Every member of the group, by rank.
    pub members: Vec<Member>,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Joins a group and loads its model.
    Load(LoadOrder),
    /// Leaves its group and frees the accelerators.
    Release,
    /// Only takes note of the fencing number.
    Fence,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Host that the order is for.
    pub host: HostId,
    /// Fencing number; a checking engine refuses one lower than it has seen.
    pub fencing: FencingNumber,
    /// What is asked for.
    #[serde(flatten)]
    pub action: OrderAction,
}
