//! Model of a group's engine: one prefill at a time, concurrent decodes in a limited
//! number of slots.

use std::collections::{BTreeMap, VecDeque};

use geranium_core::collections::HashMap;
use geranium_core::route::{BlockHash, CacheChange};

/// Prefill time per uncached prompt block, in microseconds.
const BLOCK_MICROS: f64 = 6_000.0;
/// Fixed time per prefill, in microseconds.
const BASE_MICROS: f64 = 8_000.0;

/// Outcome of starting a request's prefill.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Time of the first token, in microseconds.
    pub done_at: u64,
    /// Number of prompt blocks found in the cache.
    pub cached: usize,
    /// Resulting cache changes, in order.
    pub changes: Vec<CacheChange>,
}

/// Simulated engine of a group.
#[derive(Clone, Debug)]
pub struct Engine {
    slots: u32,
    cache_blocks: usize,
    /// Multiplier for prefill times.
    pub slow_factor: f64,
    /// Number of requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    prefill_free_at: u64,
    last_use: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(slots: u32, cache_blocks: usize) -> Self {
        Self {
            slots,
            cache_blocks,
            slow_factor: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            prefill_free_at: 0,
            last_use: HashMap::default(),
            by_last_use: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Starts the prefill of a prompt.
    pub fn prefill(&mut self, now: u64, prompt: &[BlockHash]) -> Prefill {
        self.running += 1;
        let is_cached = |block: &&BlockHash| self.last_use.contains_key(*block);
        let cached = prompt.iter().take_while(is_cached).count();
        let work = BASE_MICROS + BLOCK_MICROS * (prompt.len() - cached) as f64;
        let start = self.prefill_free_at.max(now);
        self.prefill_free_at = start + (work * self.slow_factor) as u64;
        Prefill {
            done_at: self.prefill_free_at,
            cached,
            changes: self.update_cache(prompt),
        }
    }

    fn update_cache(&mut self, prompt: &[BlockHash]) -> Vec<CacheChange> {
        let mut stored = Vec::new();
        // Blocks are touched from last to first, so that the end of a prompt is
        // evicted before its beginning.
        for &block in prompt.iter().rev() {
            self.clock += 1;
            match self.last_use.insert(block, self.clock) {
                Some(used_at) => {
                    self.by_last_use.remove(&used_at);
                }
                None => stored.push(block),
            }
            self.by_last_use.insert(self.clock, block);
        }
        let mut evicted = Vec::new();
        while self.last_use.len() > self.cache_blocks {
            if let Some((_, block)) = self.by_last_use.pop_first() {
                self.last_use.remove(&block);
                evicted.push(block);
            }
        }
        let mut changes = vec![CacheChange::Stored(stored)];
        if !evicted.is_empty() {
            changes.push(CacheChange::Evicted(evicted));
        }
        changes
    }
}
