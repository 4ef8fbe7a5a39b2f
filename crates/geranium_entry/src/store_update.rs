//! What a value of the store means.

use std::sync::Arc;

use bytes::Bytes;
use geranium_fleet::deployment::Deployment;
use geranium_fleet::host::{Host, HostId};

/// Meaning of one value of the store, or of its deletion.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreUpdate {
    /// The operator's configuration.
    Deployment(Box<Deployment>),
    /// A backend server describes itself; the second field is the rest of its cold
    /// start in milliseconds.
    Host(Box<Host>, u64),
    /// The entry of a backend server has gone.
    HostRemoved(HostId),
    /// A failure domain is out of service.
    DomainOutOfService(Arc<str>),
    /// A failure domain is back.
    DomainInService(Arc<str>),
    /// A value of the entry hosts themselves.
    Internal {
        /// Name below the own prefix.
        name: String,
        /// The value, or `None` if it has gone.
        value: Option<Bytes>,
    },
    /// A value that names nothing to use.
    Invalid {
        /// Its key.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
    /// A value of somebody else.
    Unrelated,
}
