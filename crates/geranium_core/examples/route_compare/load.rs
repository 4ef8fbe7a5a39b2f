//! The simulated load: requests that share prompt prefixes.

use std::time::Duration;

use geranium_core::route::BlockHash;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Settings of the simulated system and of its load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Mean request rate, in requests per second.
    pub rate: f64,
    /// Number of replica groups.
    pub groups: usize,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Number of shared prompt prefixes.
    pub prefixes: usize,
    /// Cache capacity of a group, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of concurrently running requests of a group.
    pub slots: u32,
    /// Simulated duration.
    pub duration: Duration,
    /// Index of the group that is slow during the middle third of the run.
    pub straggler: usize,
    /// Multiplier for the prefill times of the slow group.
    pub straggler_factor: f64,
    /// Interval between two load reports of a group.
    pub report_interval: Duration,
    /// Age of a load report when it arrives.
    pub report_lag: Duration,
    /// Maximum delay of a cache event.
    pub max_event_delay: Duration,
    /// Fraction of cache events that are lost.
    pub event_loss_rate: f64,
}

impl LoadSettings {
    /// Creates the settings for a seed and a request rate.
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

/// A simulated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time, in microseconds.
    pub at: u64,
    /// Index of the entry host that receives the request.
    pub entry_host: usize,
    /// Block hashes of the prompt.
    pub prompt: Vec<BlockHash>,
    /// Decoding time, in microseconds.
    pub decode_micros: u64,
}

/// Generates all requests of a load, ordered by arrival time.
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
        // The popularity of a prefix falls with its rank, as in Zipf's law.
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
