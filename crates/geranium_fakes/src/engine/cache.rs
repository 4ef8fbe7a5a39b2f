//! Prefix cache and its events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_engine::{CacheEvent, CacheEventKind, CacheEvents};

/// Events kept for readers; older ones are lost to them.
const MAX_EVENTS: usize = 65_536;

/// A cache of prompt blocks that evicts the one used longest ago.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    gap_every: u64,
    uses: u64,
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Timestamp, CacheEvent)>,
}

impl PrefixCache {
    /// Makes a cache. Events are told after `lag`, and one of `gap_every` is lost
    /// (zero loses none).
    #[must_use]
    pub const fn new(capacity: usize, lag: Duration, gap_every: u64) -> Self {
        Self {
            capacity,
            lag,
            gap_every,
            uses: 0,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns whether a block is held.
    #[must_use]
    pub fn contains(&self, block: u64) -> bool {
        self.last_use.contains_key(&block)
    }

    /// Uses a block and returns whether it was held.
    pub fn touch(&mut self, block: u64, now: Timestamp) -> bool {
        if self.capacity == 0 {
            return false;
        }
        self.uses += 1;
        let earlier = self.last_use.insert(block, self.uses);
        self.by_use.insert(self.uses, block);
        if let Some(earlier) = earlier {
            self.by_use.remove(&earlier);
            return true;
        }
        self.record(CacheEventKind::Stored, block, now);
        self.evict(now);
        false
    }

    /// Drops every block.
    pub fn clear(&mut self, now: Timestamp) {
        let blocks = std::mem::take(&mut self.last_use);
        self.by_use.clear();
        for block in blocks.into_keys() {
            self.record(CacheEventKind::Evicted, block, now);
        }
    }

    /// Forgets blocks and events, as a restart does.
    pub fn reset(&mut self) {
        *self = Self::new(self.capacity, self.lag, self.gap_every);
    }

    /// Returns the events after a sequence number that are told by now.
    #[must_use]
    pub fn events_after(&self, after: u64, now: Timestamp) -> CacheEvents {
        let told = |at: Timestamp| at + self.lag <= now;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence > after && told(*at))
            .map(|(_, event)| *event)
            .collect();
        CacheEvents {
            next: events.last().map_or(after, |event| event.sequence),
            events,
        }
    }

    fn evict(&mut self, now: Timestamp) {
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.record(CacheEventKind::Evicted, block, now);
        }
    }

    fn record(&mut self, kind: CacheEventKind, block_hash: u64, now: Timestamp) {
        self.sequence += 1;
        if self.gap_every > 0 && self.sequence.is_multiple_of(self.gap_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.sequence,
            kind,
            block_hash,
        };
        self.events.push_back((now, event));
    }
}
