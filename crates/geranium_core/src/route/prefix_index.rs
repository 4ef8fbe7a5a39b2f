//! Index of the prompt prefixes that groups have cached.

use super::BlockHash;
use super::group_set::{GroupSet, MAX_TRACKED_GROUPS};
use crate::collections::HashMap;

/// Maximum number of blocks of a prompt that a lookup probes.
const MAX_PROBES: usize = 16;

/// Maps block hashes to the groups that have cached them, in bounded memory.
///
/// Entries are kept in two halves. A lookup or store moves an entry into the young
/// half. When that is full, the old half is dropped and the young one takes its
/// place, which approximates LRU eviction.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    young: HashMap<BlockHash, GroupSet>,
    old: HashMap<BlockHash, GroupSet>,
    half_capacity: usize,
    cached: Box<[u32; MAX_TRACKED_GROUPS]>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            young: HashMap::default(),
            old: HashMap::default(),
            half_capacity: (capacity / 2).max(1),
            cached: Box::new([0; MAX_TRACKED_GROUPS]),
        }
    }

    /// Returns the number of blocks in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a group has cached blocks.
    pub(super) fn store_all(&mut self, slot: u16, blocks: &[BlockHash]) {
        for &block in blocks {
            let mut holders = self.touch(block).unwrap_or_default();
            holders.insert(slot);
            self.put(block, holders);
        }
    }

    /// Records that a group has evicted blocks.
    pub(super) fn evict_all(&mut self, slot: u16, blocks: &[BlockHash]) {
        for block in blocks {
            for half in [&mut self.young, &mut self.old] {
                Self::evict(half, slot, block);
            }
        }
    }

    /// Removes all entries of some groups, in one pass over the index.
    pub(super) fn clear(&mut self, slots: &[u16]) {
        if slots.is_empty() {
            return;
        }
        let mut emptied = GroupSet::default();
        for &slot in slots {
            emptied.insert(slot);
        }
        for half in [&mut self.young, &mut self.old] {
            half.retain(|_, holders| {
                *holders = holders.difference(&emptied);
                !holders.is_empty()
            });
        }
    }

    /// Determines how many leading blocks of a prompt each group has cached.
    ///
    /// Long prompts are probed at equal intervals. This is sufficient because hashes
    /// are chained and engines evict the ends of prefixes first, so a cached block
    /// implies that the blocks before it are cached too.
    pub(super) fn look_up(&mut self, prefix: &[BlockHash]) {
        self.cached.fill(0);
        let stride = prefix.len().div_ceil(MAX_PROBES).max(1);
        let mut matching = GroupSet::all();
        let mut held = 0;
        while held < prefix.len() && !matching.is_empty() {
            let end = (held + stride).min(prefix.len());
            let holders = self.touch(prefix[end - 1]).unwrap_or_default();
            let lost = matching.difference(&holders);
            self.set_cached(lost, held);
            matching = matching.intersection(&holders);
            held = end;
        }
        self.set_cached(matching, held);
    }

    fn set_cached(&mut self, slots: GroupSet, blocks: usize) {
        if blocks > 0 {
            slots.for_each(|slot| self.cached[slot] = blocks as u32);
        }
    }

    /// Returns the number of blocks that a group has cached of the prompt last
    /// looked up.
    pub(super) fn cached_blocks(&self, slot: u16) -> u32 {
        self.cached.get(usize::from(slot)).copied().unwrap_or(0)
    }

    fn evict(half: &mut HashMap<BlockHash, GroupSet>, slot: u16, block: &BlockHash) {
        if let Some(holders) = half.get_mut(block) {
            holders.remove(slot);
            if holders.is_empty() {
                half.remove(block);
            }
        }
    }

    fn touch(&mut self, block: BlockHash) -> Option<GroupSet> {
        if let Some(holders) = self.young.get(&block) {
            return Some(*holders);
        }
        let holders = self.old.remove(&block)?;
        self.put(block, holders);
        Some(holders)
    }

    fn put(&mut self, block: BlockHash, holders: GroupSet) {
        if self.young.len() >= self.half_capacity && !self.young.contains_key(&block) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(block, holders);
    }
}
