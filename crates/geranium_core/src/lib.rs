//! Decisions of geraniumcourse as state machines without input or output.
//!
//! Nothing in this crate reads a clock, opens a socket or asks the system for
//! randomness. The present time is an argument of every function that decides,
//! and random choices draw on a generator that the caller seeds. The daemon, the
//! fault matrix and the specification all drive the same code.
//!
//! | module | duty |
//! | --- | --- |
//! | [`id`] | identifiers of hosts, failure domains, client accounts, groups |
//! | [`time`] | timestamps and the hybrid logical clock |
//! | [`event`] | events that explain decisions |
//! | [`engine`] | what model engines report and which orders they accept |
//! | [`record`] | operator records, their validation and replication |
//! | [`member`] | entry hosts that know of each other |
//! | [`group`] | replica groups: formation, membership, repair |
//! | [`route`] | choice of a replica group for a request |
//! | [`limit`] | admission, cold-start budget, retry budget |
//! | [`once`] | claims for calls that must not repeat |
//! | [`stream`] | assembly of answers from their pieces |

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
