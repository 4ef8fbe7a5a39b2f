//! Version of a group table.

use std::fmt;

/// Version of a table, which orders its states.
///
/// An amendment is a change that the holder of a delegation made while the
/// store was unreachable. The next write includes or supersedes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableVersion {
    /// Sequence number of the last write.
    pub sequence: u64,
    /// Number of amendments since that write.
    pub amendment: u64,
}

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.sequence, self.amendment)
    }
}
