//! Cache events and hashes of prompt blocks.

use serde::{Deserialize, Serialize};

/// Bytes of a prompt that share one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The block is in the cache.
    Stored,
    /// The block is no longer in the cache.
    Evicted,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event of one incarnation; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prompt from its start to the end of the block.
    pub block_hash: u64,
}

/// Cache events of an engine; late, and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events in order.
    pub events: Vec<CacheEvent>,
    /// Sequence number to ask after next.
    pub next: u64,
}

/// Returns the hash of each whole block of a prompt.
///
/// The hash of a block covers everything before it too, so two prompts share
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
