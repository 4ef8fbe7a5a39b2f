//! Translation between messages and their encoding.

mod crash;
mod credit;
mod engine;
mod heartbeat;
mod member;
mod message;
mod record;
mod trial;

pub(crate) use crash::{read_crashes, write_crashes};
pub(crate) use credit::{
    read_credit_answer, read_credit_request, write_credit_answer, write_credit_request,
};
pub(crate) use heartbeat::{read_heartbeat, write_heartbeat};
pub(crate) use member::{read_member, write_member};
pub(crate) use message::{
    read_claim_state, read_drain_notice, write_claim_state, write_drain_notice,
};
pub(crate) use record::{
    read_pull_answer, read_records, read_versions, write_pull_answer, write_records, write_versions,
};
pub(crate) use trial::{
    read_trial_answer, read_trial_request, write_trial_answer, write_trial_request,
};

use std::str::FromStr;
use std::time::Duration;

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

/// Returns a duration in microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
