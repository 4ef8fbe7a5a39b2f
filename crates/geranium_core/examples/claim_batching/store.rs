//! Model of the platform's store.

use std::collections::HashMap;

use geranium_core::once::{Batch, BatchOutcome, StoredClaim};
use geranium_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// Mean service time of a transaction, in microseconds.
const SERVICE_MICROS: f64 = 2_000.0;

/// Additional service time per write of a transaction, in microseconds.
const WRITE_MICROS: u64 = 20;

/// Minimum one-way network latency, in microseconds.
const ONE_WAY_MICROS: u64 = 1_000;

/// Mean of the random latency added to the minimum, in microseconds.
const JITTER_MICROS: f64 = 300.0;

/// A store that processes transactions sequentially.
#[derive(Default)]
pub struct Store {
    values: HashMap<String, StoredClaim>,
    revision: u64,
    free_at: u64,
    pub transactions: u64,
    pub writes: u64,
}

impl Store {
    /// Enqueues a transaction sent now and returns the time of its completion.
    pub fn accept(&mut self, now: u64, batch: &Batch, rng: &mut SmallRng) -> u64 {
        self.transactions += 1;
        self.writes += batch.writes.len() as u64;
        let arrival = now + one_way(rng);
        let work = exponential(SERVICE_MICROS, rng) + WRITE_MICROS * batch.writes.len() as u64;
        self.free_at = self.free_at.max(arrival) + work;
        self.free_at
    }

    /// Applies a transaction atomically.
    pub fn apply(&mut self, batch: &Batch) -> BatchOutcome {
        let fits = batch.writes.iter().all(|write| {
            let present = self.values.get(&write.key);
            present.map_or(StoreRevision(0), |stored| stored.revision) == write.expected
        });
        if !fits {
            let keys = batch.writes.iter().map(|write| &write.key);
            let present = keys.filter_map(|key| Some((key.clone(), self.read(key)?)));
            return BatchOutcome::Conflict(present.collect());
        }
        self.revision += 1;
        let revision = StoreRevision(self.revision);
        for write in &batch.writes {
            let stored = StoredClaim::read(&write.key, &write.value, revision);
            self.values.insert(write.key.clone(), stored);
        }
        BatchOutcome::Applied(revision)
    }

    /// Reads a claim.
    pub fn read(&self, key: &str) -> Option<StoredClaim> {
        self.values.get(key).cloned()
    }
}

/// Draws a random one-way network latency.
pub fn one_way(rng: &mut SmallRng) -> u64 {
    ONE_WAY_MICROS + exponential(JITTER_MICROS, rng)
}

/// Draws from an exponential distribution with the given mean.
pub fn exponential(mean: f64, rng: &mut SmallRng) -> u64 {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    (-uniform.ln() * mean) as u64
}
