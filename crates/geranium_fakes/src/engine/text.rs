//! The tokens of a completion.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Multiplier of the finalizer of `SplitMix64`.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;

/// Seed of the tokens of one completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TokenSeed(u64);

impl TokenSeed {
    pub fn new(weights: &str, version: &str, prompt: &str) -> Self {
        let parts = [weights, "\0", version, "\0", prompt];
        let bytes = parts.iter().flat_map(|part| part.bytes());
        Self(bytes.fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        }))
    }

    /// Returns the text of the token at an index.
    pub fn token(self, index: u64) -> String {
        let mixed = (self.0 ^ index.wrapping_mul(FNV_PRIME)).wrapping_mul(MIX);
        let word = (mixed >> 40) & 0xffff;
        format!("{word:04x} ")
    }

    /// Returns the text of the first `tokens` tokens.
    pub fn text(self, tokens: u64) -> String {
        (0..tokens).map(|index| self.token(index)).collect()
    }
}

/// Returns the whole text that every engine with these weights gives for a prompt.
///
/// The prompt is that of [`geranium_engine::ChatRequest::prompt`].
#[must_use]
pub fn expected_text(weights: &str, version: &str, prompt: &str, tokens: u32) -> String {
    TokenSeed::new(weights, version, prompt).text(u64::from(tokens))
}
