//! Delegated right to repair groups while the platform's store is unreachable.

use serde::{Deserialize, Serialize};

use crate::engine::Member;
use crate::id::{FencingNumber, HostId, Incarnation};

/// Right of one process to move spares of a fabric domain into its groups
/// while the platform's store is unreachable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delegation {
    /// Process that holds the delegation.
    pub holder: Incarnation,
    /// Spares that only the holder may use.
    pub spares: Vec<Member>,
    /// Fencing number that the holder uses next.
    pub next_fencing: FencingNumber,
    /// End of the range reserved for the holder, exclusive.
    pub end_fencing: FencingNumber,
}

impl Delegation {
    /// Returns whether a host is one of the spares.
    #[must_use]
    pub fn has_spare(&self, host: &HostId) -> bool {
        self.spares.iter().any(|member| &member.host == host)
    }
}
