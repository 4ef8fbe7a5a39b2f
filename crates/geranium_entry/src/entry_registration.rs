//! Registrations by which entry hosts discover each other.

use std::net::SocketAddr;

use geranium_fleet::exchange::Peer;
use serde::{Deserialize, Serialize};

use crate::stored_record;

/// Prefix of the values by which entry hosts discover each other.
pub(crate) const ENTRY_PREFIX: &str = "entry/";
/// Name of the value that holds the registration of the manager.
pub(crate) const MANAGER_KEY: &str = "manager";

/// Registration of an entry host in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryRegistration {
    /// Name of the host.
    pub(crate) name: String,
    /// Failure domain of the host.
    #[serde(default)]
    pub(crate) failure_domain: String,
    /// Address of its datagrams and of the changes that it passes on.
    pub(crate) peers: SocketAddr,
    /// Address for requests that others forward to it; older versions have none.
    #[serde(default)]
    pub(crate) forward: Option<SocketAddr>,
    /// Number of processor cores that it may use; may be a fraction.
    #[serde(default)]
    pub(crate) processor_share: f64,
    /// Whether it reads reports of what callers ask for; older versions do not.
    #[serde(default)]
    pub(crate) reads_demand: bool,
}

impl EntryRegistration {
    /// Returns the entry host as a peer.
    pub(crate) fn into_peer(self) -> Peer {
        Peer {
            name: self.name.into(),
            failure_domain: self.failure_domain.into(),
            address: self.peers,
            forward_address: self.forward,
            processor_share: self.processor_share,
            reads_demand: self.reads_demand,
        }
    }

    /// Parses a stored registration; one that is malformed counts as missing.
    pub(crate) fn parse(value: &[u8]) -> Option<Self> {
        stored_record::parse("registration of an entry host", value)
    }
}
