//! Schema versions of documents.

use std::fmt;

/// Schema version of a document; documents of all versions can be in use at the
/// same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SchemaVersion {
    /// Models list failure domains, with one number of replicas for all of them,
    /// and client accounts.
    V1,
    /// Models define replicas per failure domain, account weights and concurrency.
    V2,
}

impl SchemaVersion {
    /// All versions, oldest first.
    pub const ALL: [Self; 2] = [Self::V1, Self::V2];

    /// Newest version, the target of upgrades.
    pub const LATEST: Self = Self::V2;

    /// Returns the number used in documents.
    #[must_use]
    pub const fn number(self) -> u64 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
        }
    }

    /// Returns the version with a number, if it exists.
    #[must_use]
    pub fn from_number(number: u64) -> Option<Self> {
        Self::ALL.into_iter().find(|v| v.number() == number)
    }
}

impl fmt::Display for SchemaVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(f)
    }
}
