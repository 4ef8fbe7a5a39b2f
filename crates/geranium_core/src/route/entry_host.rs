//! Entry hosts through which other failure domains are reached.

use crate::id::{FailureDomainId, HostId};

/// An entry host that answers, as the router sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
}
