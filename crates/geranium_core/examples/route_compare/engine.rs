//! A group's engine: one prefill at a time, a number of decodes beside it.

use std::collections::{BTreeMap, VecDeque};

use geranium_core::collections::HashMap;
use geranium_core::route::{BlockHash, CacheChange};

/// Time to compute one block of a prompt, in microseconds.
const BLOCK_MICROS: f64 = 6_000.0;
/// Time that every prefill takes beside its blocks, in microseconds.
const BASE_MICROS: f64 = 8_000.0;

/// What an engine does with a request when its turn comes.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// Time at which the first token is out, in microseconds.
    pub done_at: u64,
    /// Blocks taken from the cache.
    pub cached: usize,
    /// Changes of the cache, in order.
    pub changes: Vec<CacheChange>,
}

/// A group's engine.
#[derive(Clone, Debug)]
pub struct Engine {
    slots: u32,
    cache_blocks: usize,
    /// Factor on prefill times.
    pub slow_factor: f64,
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: VecDeque<usize>,
    prefill_free_at: u64,
    last_use: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl Engine {
    /// Makes an idle engine with an empty cache.
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

    /// Returns whether another request may hold a slot.
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
        // The end of a prompt is used first, so that it is evicted first.
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
