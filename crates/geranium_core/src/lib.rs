//! The decision logic of geraniumcourse, as state machines without I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or uses system randomness.
//! Each decision takes the current time as an argument, and random choices use a
//! generator seeded by the caller. The daemon, the fault matrix and the
//! specification all drive the same code.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`id`] | identifiers of hosts, failure domains, client accounts, groups |
//! | [`time`] | timestamps and the hybrid logical clock |
//! | [`event`] | events that explain decisions |
//! | [`engine`] | reports of model engines, and the orders that they accept |
//! | [`record`] | operator records, their validation and replication |
//! | [`member`] | membership of the entry hosts |
//! | [`group`] | replica groups: formation, membership, repair |
//! | [`route`] | choice of a replica group for a request |
//! | [`limit`] | admission, cold-start budget, retry budget |
//! | [`once`] | claims that keep non-idempotent calls from running twice |
//! | [`stream`] | assembly of streamed answers from their chunks |

pub mod collections;
pub mod engine;
pub mod event;
pub mod group;
pub mod id;
pub mod limit;
pub mod member;
pub mod once;
pub mod prelude;
pub mod record;
pub mod route;
pub mod stream;
pub mod time;
