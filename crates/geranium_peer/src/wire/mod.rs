//! Translation between messages and their encoding.

mod crash;
mod engine;
mod heartbeat;
mod member;
mod record;

pub(crate) use crash::{read_crashes, write_crashes};
pub(crate) use heartbeat::{read_heartbeat, write_heartbeat};
pub(crate) use member::{read_member, write_member};
pub(crate) use record::{
    read_pull_answer, read_records, read_versions, write_pull_answer, write_records, write_versions,
};

use std::str::FromStr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the number of elements of a list.
///
/// A list that is too long for the encoding is too large for a message as well.
pub(crate) fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Parses text that holds an identifier or an address.
pub(crate) fn parse<T>(text: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let text = text?.to_str()?;
    text.parse()
        .map_err(|e| capnp::Error::failed(format!("{text:?} is not valid: {e}")))
}

/// Returns text as it is.
pub(crate) fn text(text: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<String> {
    Ok(text?.to_str()?.to_owned())
}

/// Reads a value that is carried as JSON.
pub(crate) fn read_json<T: DeserializeOwned>(data: &[u8]) -> capnp::Result<T> {
    serde_json::from_slice(data).map_err(|e| capnp::Error::failed(format!("not understood: {e}")))
}

/// Renders a value that is carried as JSON.
pub(crate) fn write_json<T: Serialize>(value: &T) -> capnp::Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|e| capnp::Error::failed(format!("not renderable: {e}")))
}

/// Returns a duration in microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
