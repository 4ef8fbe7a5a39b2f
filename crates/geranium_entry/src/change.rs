//! A change of the store as entry hosts exchange it.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::value_patch::{PatchError, ValuePatch};

/// Estimated memory of a change beside its key and value, in bytes. It bounds the number of
/// small changes.
pub(crate) const CHANGE_OVERHEAD: usize = 256;

/// A store change as entry hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the change.
    pub revision: u64,
    /// The new value in Base64, or `None` for a deletion or a value that is given by patches.
    pub value: Option<Arc<str>>,
    /// Patches that lead to the new value; only for those who asked for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub patches: Vec<ValuePatch>,
}

impl Change {
    /// Returns the value, or `None` for a deletion. Not for a value that is given by patches.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is malformed.
    pub fn decode_value(&self) -> Result<Option<Bytes>, PatchError> {
        let decoded = self.value.as_deref().map(|text| STANDARD.decode(text));
        let decoded = decoded.transpose();
        let decoded = decoded.map_err(|e| PatchError::Corrupt(e.to_string()))?;
        Ok(decoded.map(Bytes::from))
    }

    /// Creates the change to a whole value.
    pub(crate) fn put(key: Arc<str>, revision: u64, value: &[u8]) -> Self {
        Self {
            key,
            revision,
            value: Some(STANDARD.encode(value).into()),
            patches: Vec::new(),
        }
    }

    /// Creates the change to a value that patches lead to.
    pub(crate) const fn patched(key: Arc<str>, revision: u64, patches: Vec<ValuePatch>) -> Self {
        Self {
            key,
            revision,
            value: None,
            patches,
        }
    }

    /// Creates the deletion of a key.
    pub(crate) const fn deletion(key: Arc<str>, revision: u64) -> Self {
        Self::patched(key, revision, Vec::new())
    }

    /// Returns the estimated memory of the change, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |v| v.len());
        let patches: usize = self.patches.iter().map(ValuePatch::size).sum();
        CHANGE_OVERHEAD + self.key.len() + value + patches
    }
}
