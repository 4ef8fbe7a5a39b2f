//! How entry hosts pass on the values of changes.

/// How the values of a page are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeForm {
    /// Each value as a whole.
    Whole,
    /// Large values by the patches that lead to them.
    Patched,
    /// Large values compressed, each as a whole.
    Compressed,
}
