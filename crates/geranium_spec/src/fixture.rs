//! Values that several models share.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use geranium_core::engine::Member;
use geranium_core::id::{HostId, ModelId, RecordName};
use geranium_core::record::ModelSpec;

/// Returns the member with a number, named `h` and the number.
pub(crate) fn numbered_member(index: usize) -> Member {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    Member {
        host: HostId::new(format!("h{index}")),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
    }
}

/// Returns a record that asks for replicas of two hosts.
pub(crate) fn model_spec() -> ModelSpec {
    ModelSpec {
        name: RecordName::new("record"),
        served_model: ModelId::new("model"),
        weights: "weights".to_owned(),
        version: "1".to_owned(),
        adapters: Vec::new(),
        hosts_per_replica: 2,
        placements: Vec::new(),
        accounts: Vec::new(),
        cold_concurrency: 1,
        warm_concurrency: 1,
    }
}
