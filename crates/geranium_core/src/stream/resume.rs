//! Where another replica takes over.

/// Where another replica takes over an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResumePoint {
    /// Number of the new attempt; chunks of earlier ones are dropped from now on.
    pub attempt: u32,
    /// Index of the first token that the new replica has to produce.
    pub resume_from: u64,
    /// Text of all tokens before it.
    pub text: String,
}
