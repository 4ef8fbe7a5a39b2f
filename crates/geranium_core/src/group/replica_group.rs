//! One replica group of the table.

use serde::{Deserialize, Serialize};

use crate::engine::{Assignment, LoadOrder, Member, Order, OrderAction};
use crate::id::{FabricDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName};
use crate::record::ModelSpec;

/// Stage in the life of a replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// Members are being loaded.
    Forming,
    /// The leader has seen every member ready under the present fencing number.
    Serving,
    /// The group takes no new requests and ends once it is idle.
    Dissolving,
}

/// A replica group as the table keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaGroup {
    /// Record that asks for the group.
    pub record: RecordName,
    /// Model as callers name it.
    pub served_model: ModelId,
    /// Name of the weights.
    pub weights: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters beside the weights, sorted.
    pub adapters: Vec<String>,
    /// Fabric domain of every member.
    pub fabric_domain: FabricDomainId,
    /// Members by rank.
    pub members: Vec<Member>,
    /// Fencing number of the orders to the members.
    pub fencing: FencingNumber,
    /// Stage of the group.
    pub state: GroupState,
    /// Requests that the group bears at a time while cold.
    pub cold_concurrency: u32,
    /// Requests that the group bears at a time while warm.
    pub warm_concurrency: u32,
}

impl ReplicaGroup {
    /// Returns whether a host is a member.
    #[must_use]
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|m| &m.host == host)
    }

    /// Returns whether the members load what a record asks for now.
    #[must_use]
    pub fn matches(&self, spec: &ModelSpec) -> bool {
        self.record == spec.name
            && self.weights == spec.weights
            && self.version == spec.version
            && self.adapters == spec.adapters
            && self.members.len() == spec.hosts_per_replica as usize
    }

    /// Returns the assignment that the member of a rank reports once it follows its order.
    #[must_use]
    pub fn assignment(&self, id: &GroupId, rank: usize) -> Assignment {
        Assignment {
            group: id.clone(),
            fencing: self.fencing,
            model: self.weights.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
            rank: rank_number(rank),
        }
    }

    /// Returns the order for the member of a rank.
    ///
    /// # Panics
    ///
    /// Panics if the group has no member of that rank.
    #[must_use]
    pub fn load_order(&self, id: &GroupId, rank: usize) -> Order {
        let load = LoadOrder {
            group: id.clone(),
            model: self.weights.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
            rank: rank_number(rank),
            members: self.members.clone(),
        };
        Order {
            host: self.members[rank].host.clone(),
            fencing: self.fencing,
            action: OrderAction::Load(load),
        }
    }
}

fn rank_number(rank: usize) -> u32 {
    u32::try_from(rank).unwrap_or(u32::MAX)
}
