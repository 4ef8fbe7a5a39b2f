//! Settings of the stand-in.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a [`FakeService`](super::FakeService).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Address of the service.
    pub listen: SocketAddr,
    /// Address for faults and counts.
    pub admin: SocketAddr,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            admin: any_port,
        }
    }
}
