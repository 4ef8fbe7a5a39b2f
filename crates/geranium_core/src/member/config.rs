//! What a host says about itself and whom it asks first.

use std::net::SocketAddr;

use super::{MemberInfo, MemberTiming};

/// What a host says about itself and whom it asks first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberConfig {
    /// This host.
    pub local: MemberInfo,
    /// Peer addresses from the settings; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: MemberTiming,
}
