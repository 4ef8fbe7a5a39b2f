//! Memory limits of a stream.

/// Memory limits of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamLimits {
    /// Maximum number of bytes buffered for the reader; a single chunk of any size
    /// is accepted if the buffer is empty.
    pub max_buffered_bytes: usize,
    /// Maximum number of out-of-order chunks buffered while one is missing.
    pub max_reordered_chunks: usize,
    /// Maximum length of the text kept to resume on another replica, in bytes.
    pub max_resume_bytes: usize,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self {
            max_buffered_bytes: 64 * 1024,
            max_reordered_chunks: 64,
            max_resume_bytes: 256 * 1024,
        }
    }
}
