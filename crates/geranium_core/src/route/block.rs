//! Hashes of prompt-prefix blocks.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

/// Hash of a prompt from its start to the end of a block.
///
/// Each hash covers all blocks before it, so equal hashes mean equal prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockHash(pub u64);

/// Returns the chained hashes of the whole blocks of a prompt.
///
/// `seed` separates prompts that must not share a cache, such as those of
/// different models or adapters. A remainder shorter than `block_len` bytes is
/// ignored, because engines cache whole blocks only.
///
/// # Panics
///
/// Panics if `block_len` is zero.
///
/// # Examples
///
/// ```
/// use geranium_core::route::block_hashes;
///
/// let short = block_hashes(7, b"aaaabbbb", 4);
/// let long = block_hashes(7, b"aaaabbbbcccc", 4);
///
/// assert_eq!(short[..], long[..2]);
/// ```
#[must_use]
pub fn block_hashes(seed: u64, prompt: &[u8], block_len: usize) -> Vec<BlockHash> {
    let mut previous = seed;
    prompt
        .chunks_exact(block_len)
        .map(|block| {
            let mut hasher = FxHasher::default();
            hasher.write_u64(previous);
            hasher.write(block);
            previous = hasher.finish();
            BlockHash(previous)
        })
        .collect()
}
