//! Settings of the stand-in.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use geranium_core::id::HostId;

/// Settings of a [`FakeEngine`](super::FakeEngine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineConfig {
    /// Address of the engine.
    pub listen: SocketAddr,
    /// Address for faults and counts.
    pub admin: SocketAddr,
    /// Host that the engine runs on.
    pub host: HostId,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load weights.
    pub load_time: Duration,
    /// Time to read one block of a prompt that is not in the prefix cache.
    pub prefill_time: Duration,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Requests that a cold engine finishes before it is warm.
    pub warm_after: u32,
    /// Requests that a cold engine bears at a time; one more and it falls over.
    pub cold_capacity: u32,
    /// Requests worked on at a time; more wait in the queue.
    pub slots: u32,
    /// Requests above which the time per token grows.
    pub batch_capacity: u32,
    /// Tokens that fit into the KV cache.
    pub kv_capacity_tokens: u64,
    /// Blocks that fit into the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load figures in a report.
    pub report_lag: Duration,
    /// Age that a cache event has when it is first told.
    pub cache_lag: Duration,
    /// One cache event of this many is lost; zero loses none.
    pub cache_gap_every: u64,
    /// Text that makes the engine fall over when a prompt holds it.
    pub crash_marker: Option<String>,
    /// Time without an answer after which rank 0 takes a member for missing.
    pub member_timeout: Duration,
}

impl EngineConfig {
    /// Makes settings for a host, on ports that the system chooses.
    #[must_use]
    pub fn new(host: HostId) -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            admin: any_port,
            host,
            checks_fencing: true,
            load_time: Duration::from_millis(100),
            prefill_time: Duration::ZERO,
            token_time: Duration::from_millis(1),
            warm_after: 8,
            cold_capacity: 4,
            slots: 256,
            batch_capacity: 64,
            kv_capacity_tokens: 1 << 20,
            cache_blocks: 4_096,
            report_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gap_every: 0,
            crash_marker: None,
            member_timeout: Duration::from_secs(2),
        }
    }
}
