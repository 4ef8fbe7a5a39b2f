//! One replica group of the table.

use serde::{Deserialize, Serialize};

use crate::engine::{Assignment, LoadOrder, Member, Order, OrderAction};
use crate::id::{FabricDomainId, FencingNumber, GroupId, HostId, ModelId, RecordName};
use crate::record::ModelSpec;

/// Lifecycle state of a replica group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// The members are loading the model.
    Forming,
    /// The leader has seen every member ready under the current fencing number.
    Serving,
    /// The group accepts no new requests and is removed once it is idle.
    Dissolving,
}

/// A replica group as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaGroup {
    /// Record that requests the group.
    pub record: RecordName,
    /// Name under which callers request the model.
    pub served_model: ModelId,
    /// Name of the weights.
    pub weights: String,
    /// Version of the weights.
    pub version: String,
    /// Names of the adapters loaded with the weights, sorted.
    pub adapters: Vec<String>,
    /// Fabric domain that all members share.
    pub fabric_domain: FabricDomainId,
    /// Members, indexed by rank.
    pub members: Vec<Member>,
    /// Fencing number of the orders sent to the members.
    pub fencing: FencingNumber,
    /// Lifecycle state of the group.
    pub state: GroupState,
    /// Maximum number of concurrent requests while the group is cold.
    pub cold_concurrency: u32,
    /// Maximum number of concurrent requests while the group is warm.
    pub warm_concurrency: u32,
}

impl ReplicaGroup {
    /// Returns whether a host is a member.
    #[must_use]
    pub fn has_member(&self, host: &HostId) -> bool {
        self.members.iter().any(|m| &m.host == host)
    }

    /// Returns whether the group matches the current content of a record.
    #[must_use]
    pub fn matches(&self, spec: &ModelSpec) -> bool {
        self.record == spec.name
            && self.weights == spec.weights
            && self.version == spec.version
            && self.adapters == spec.adapters
            && self.members.len() == spec.hosts_per_replica as usize
    }

    /// Returns the assignment that the member at `rank` reports once it has applied its order.
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

    /// Returns the load order for the member at `rank`.
    ///
    /// # Panics
    ///
    /// Panics if the group has no member at `rank`.
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
