//! Prefix cache events and hashes of prompt blocks.

use serde::{Deserialize, Serialize};

/// Size of a block of the prefix cache, in bytes of the prompt.
pub const BLOCK_BYTES: usize = 64;

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Kind of a change to a block of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event of an incarnation; a jump means that
    /// events were lost.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// Hash of the prompt from its start to the end of the block.
    pub block_hash: u64,
}

/// Cache events of an engine. Events may arrive late, and some may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events in the order of their sequence numbers.
    pub events: Vec<CacheEvent>,
    /// Value of `after` for the next call of [`EngineApi::cache_events`].
    ///
    /// [`EngineApi::cache_events`]: crate::EngineApi::cache_events
    pub next: u64,
}

/// Returns the hash of each full block of a prompt.
///
/// The hash of a block also covers everything before it, so two prompts share
/// exactly the blocks of their common prefix.
///
/// # Examples
///
/// ```
/// use geranium_engine::{BLOCK_BYTES, block_hashes};
///
/// let long = vec![b'a'; 2 * BLOCK_BYTES + 1];
/// let short = &long[..BLOCK_BYTES];
/// assert_eq!(block_hashes(&long).count(), 2);
/// assert_eq!(block_hashes(&long).next(), block_hashes(short).next());
/// ```
pub fn block_hashes(prompt: &[u8]) -> impl Iterator<Item = u64> + '_ {
    prompt
        .chunks_exact(BLOCK_BYTES)
        .scan(FNV_OFFSET, |hash, block| {
            *hash = block.iter().fold(*hash, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
            });
            Some(*hash)
        })
}
