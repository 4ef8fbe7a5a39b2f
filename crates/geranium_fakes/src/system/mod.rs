//! A small system: stand-ins in this process, entry hosts as processes.
//!
//! Tests and measurements start it with the path of a built `geraniumd`. It
//! panics where it finds the system in a state that its caller did not reckon
//! with, so that a test fails at that place.

mod entry;
mod small_system;
mod wait;

pub use entry::{
    Entry, EntryAddresses, OPERATOR_TOKEN, PEER_TOKEN, RESPONSE_MEMORY_BYTES, free_address,
};
pub use small_system::{
    DESK_KEY, DomainSize, System, VERSION, WEIGHTS, account, content, expected, model, open_groups,
};
pub use wait::until;
