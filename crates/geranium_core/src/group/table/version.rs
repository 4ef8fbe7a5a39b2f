//! Order of the states of a group table.

use std::fmt;

/// Place of a table in the order of its states.
///
/// An amendment is a change that the holder of a delegation made while the
/// store did not answer; the next write takes it over or supersedes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion {
    /// Number of the last write.
    pub sequence: u64,
    /// Amendments since that write.
    pub amendment: u64,
}

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.sequence, self.amendment)
    }
}
