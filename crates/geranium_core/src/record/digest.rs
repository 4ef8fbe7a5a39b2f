//! Digest of a set of records.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Digest of a set of records: the XOR of the digests of its records, so that
/// equal sets have equal digests regardless of the order of insertion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigDigest(pub u64);

impl ConfigDigest {
    /// Adds the digest of one record, or removes it if it is already included.
    #[must_use]
    pub(super) const fn toggled(self, record: u64) -> Self {
        Self(self.0 ^ record)
    }
}

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Serialize for ConfigDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ConfigDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map(Self)
            .map_err(de::Error::custom)
    }
}
