//! Rights to repair while the platform's store does not answer.

use serde::{Deserialize, Serialize};

use crate::engine::Member;
use crate::id::{FencingNumber, HostId, Incarnation};

/// Right of one process to put the spares of a fabric domain into its groups
/// while the platform's store does not answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delegation {
    /// Process that holds the right.
    pub holder: Incarnation,
    /// Spares that the holder alone may use.
    pub spares: Vec<Member>,
    /// Fencing number that the holder uses next.
    pub next_fencing: FencingNumber,
    /// First number above those reserved for the holder.
    pub end_fencing: FencingNumber,
}

impl Delegation {
    /// Returns whether a host is one of the spares.
    #[must_use]
    pub fn has_spare(&self, host: &HostId) -> bool {
        self.spares.iter().any(|member| &member.host == host)
    }
}
