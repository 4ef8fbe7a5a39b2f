//! Schema versions.

use std::fmt;

/// Schema version of a document; all are valid side by side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SchemaVersion {
    /// Models name failure domains and client accounts, with one number of replicas.
    V1,
    /// Models state replicas a failure domain, weights of accounts and concurrency.
    V2,
}

impl SchemaVersion {
    /// Every version, oldest first.
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
