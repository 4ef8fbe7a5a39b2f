//! The point at which another replica resumes an answer.

/// The point at which another replica resumes an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResumePoint {
    /// Number of the new attempt; chunks of earlier attempts are dropped.
    pub attempt: u32,
    /// Index of the first token that the new replica has to produce.
    pub resume_from: u64,
    /// Text of all tokens before `resume_from`.
    pub text: String,
}
