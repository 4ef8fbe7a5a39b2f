//! Entry hosts that forward requests to other failure domains.

use crate::id::{FailureDomainId, HostId};

/// A live entry host to which the router can forward requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
}
