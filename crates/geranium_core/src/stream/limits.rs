//! Bounds on what one stream keeps.

/// Bounds on what one stream keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamLimits {
    /// Bytes that may wait for a slow reader; one chunk may wait at any size.
    pub max_buffered_bytes: usize,
    /// Chunks that may wait for a missing one.
    pub max_reordered_chunks: usize,
    /// Bytes of assembled text that are kept to resume elsewhere.
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
