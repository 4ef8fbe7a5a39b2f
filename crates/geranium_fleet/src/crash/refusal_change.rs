//! Changes of what is refused.

use super::CrashCount;

/// A subject that is refused from now on or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalChange {
    /// What is known of the subject.
    pub count: CrashCount,
    /// Whether it is refused now.
    pub refused: bool,
}
