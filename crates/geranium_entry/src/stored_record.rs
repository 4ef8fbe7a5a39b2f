//! Parsing of what entry hosts store.

use serde::de::DeserializeOwned;

/// Parses a stored value; one that is malformed counts as missing. `what` names it in the log.
pub(crate) fn parse<T: DeserializeOwned>(what: &str, value: &[u8]) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!("{what} is malformed: {e}");
            None
        }
    }
}
