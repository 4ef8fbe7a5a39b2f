//! The load: conversations that share prompt prefixes.

use std::time::Duration;

use geranium_core::route::BlockHash;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Settings of the simulated system and its load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Seed of everything random.
    pub seed: u64,
    /// Mean requests per second.
    pub rate: f64,
    /// Replica groups.
    pub groups: usize,
    /// Entry hosts.
    pub entry_hosts: usize,
    /// Prompt prefixes that requests share.
    pub prefixes: usize,
    /// Blocks that fit into the cache of a group.
    pub cache_blocks: usize,
    /// Requests that a group runs at a time.
    pub slots: u32,
    /// Simulated time.
    pub duration: Duration,
    /// Group that is slow in the middle third of the time.
    pub straggler: usize,
    /// How much slower it is.
    pub straggler_factor: f64,
    /// Time between two load reports of a group.
    pub report_interval: Duration,
    /// Age of a load report when it arrives.
    pub report_lag: Duration,
    /// Longest delay of a cache event.
    pub max_event_delay: Duration,
    /// Share of cache events that are lost.
    pub event_loss_rate: f64,
}

impl LoadSettings {
    /// Returns the settings for a seed and a rate.
    pub fn new(seed: u64, rate: f64) -> Self {
        Self {
            seed,
            rate,
            groups: 12,
            entry_hosts: 6,
            prefixes: 300,
            cache_blocks: 1_500,
            slots: 24,
            duration: Duration::from_secs(240),
            straggler: 3,
            straggler_factor: 3.0,
            report_interval: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            max_event_delay: Duration::from_millis(500),
            event_loss_rate: 0.02,
        }
    }
}

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Request {
    /// Time of its arrival, in microseconds.
    pub at: u64,
    /// Entry host that gets it.
    pub entry_host: usize,
    /// Hashes of its prompt.
    pub prompt: Vec<BlockHash>,
    /// Time that its decoding takes, in microseconds.
    pub decode_micros: u64,
}

/// Makes all requests of a load, by time.
pub fn requests(settings: &LoadSettings) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let lengths: Vec<u64> = (0..settings.prefixes)
        .map(|_| rng.random_range(8..48))
        .collect();
    let end = settings.duration.as_micros() as u64;
    let mut at = 0;
    let mut unique = 1 << 40;
    let mut out = Vec::new();
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / settings.rate;
        at += (gap * 1e6) as u64;
        if at >= end {
            return out;
        }
        // A popularity that falls with the rank, as of Zipf's law.
        let prefix = (settings.prefixes as f64).powf(rng.random::<f64>()) as usize - 1;
        let shared = (0..lengths[prefix]).map(|i| BlockHash(((prefix as u64 + 1) << 16) + i));
        let tail = rng.random_range(1..8);
        unique += tail;
        let prompt = shared.chain((unique - tail..unique).map(BlockHash));
        out.push(Request {
            at,
            entry_host: rng.random_range(0..settings.entry_hosts),
            prompt: prompt.collect(),
            decode_micros: rng.random_range(500_000..5_000_000),
        });
    }
}
