//! Decoded values of the store.

use std::sync::Arc;

use bytes::Bytes;
use geranium_fleet::deployment::Deployment;
use geranium_fleet::host::{Host, HostId};

/// A decoded value of the store, or its deletion.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreUpdate {
    /// The operator's configuration.
    Deployment(Box<Deployment>),
    /// Registration of a backend server; the second field is the remaining time of its
    /// cold start in milliseconds.
    Host(Box<Host>, u64),
    /// The registration of a backend server was deleted.
    HostRemoved(HostId),
    /// A failure domain was taken out of service.
    DomainOutOfService(Arc<str>),
    /// A failure domain was put back into service.
    DomainInService(Arc<str>),
    /// A value that the entry hosts themselves maintain.
    Internal {
        /// Name of the value, without the prefix of its key.
        name: String,
        /// The value, or `None` if it was deleted.
        value: Option<Bytes>,
    },
    /// A value that cannot be used.
    Invalid {
        /// Key of the value.
        key: String,
        /// Description of the error.
        detail: String,
    },
    /// A value that does not concern entry hosts.
    Unrelated,
}
