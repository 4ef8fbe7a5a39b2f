//! Record keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::{RecordError, RecordKind};
use crate::id::RecordName;

/// Prefix of the store keys of all records.
pub const RECORD_PREFIX: &str = "/geranium/records/";

/// Kind and name of a record; together they are unique in the whole system.
///
/// # Examples
///
/// ```
/// use geranium_core::record::RecordKey;
///
/// let key: RecordKey = "model/summary".parse()?;
/// assert_eq!(key.store_key(), "/geranium/records/model/summary");
/// assert_eq!(RecordKey::from_store_key(&key.store_key())?, key);
/// # Ok::<(), geranium_core::record::RecordError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the kind.
    pub name: RecordName,
}

impl RecordKey {
    /// Creates a key.
    #[must_use]
    pub const fn new(kind: RecordKind, name: RecordName) -> Self {
        Self { kind, name }
    }

    /// Returns the key of the record in the platform's store.
    #[must_use]
    pub fn store_key(&self) -> String {
        format!("{RECORD_PREFIX}{self}")
    }

    /// Parses a key of the platform's store.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::InvalidKey`] if the text is not the store key of a
    /// record.
    pub fn from_store_key(text: &str) -> Result<Self, RecordError> {
        text.strip_prefix(RECORD_PREFIX)
            .ok_or_else(|| RecordError::InvalidKey(text.to_owned()))?
            .parse()
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for RecordKey {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        let invalid = || RecordError::InvalidKey(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(invalid)?;
        Ok(Self {
            kind: kind.parse()?,
            name: name.parse().map_err(|_| invalid())?,
        })
    }
}

impl Serialize for RecordKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RecordKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
