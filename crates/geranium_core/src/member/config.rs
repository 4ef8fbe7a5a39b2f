//! Configuration of the membership.

use std::net::SocketAddr;

use super::{MemberInfo, MemberTiming};

/// Configuration of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// Identity and addresses of this host.
    pub local: MemberInfo,
    /// Peer addresses from the settings, used for discovery; some may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: MemberTiming,
}
