//! RPC between entry hosts.
//!
//! This crate only carries messages: the decisions stay in `geranium_core`. Its
//! interface uses plain types; nothing of the encoding leaks out.
//!
//! `capnp-rpc` objects stay on one thread, so that [`PeerServer`] and
//! [`PeerClient`] each run a thread of their own and talk to it over channels.
//! Both may be used from any runtime.
//!
//! A connection begins with a shared token; without it nothing can be called.
//! The token crosses the network in clear: listen on a private network only.

mod client;
mod config;
mod error;
mod message;
mod server;
mod token;
mod wire;

#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    clippy::all,
    clippy::cloned_instead_of_copied,
    clippy::doc_markdown,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::redundant_closure_for_method_calls,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::uninlined_format_args,
    clippy::unwrap_used,
    reason = "generated code"
)]
#[rustfmt::skip]
mod peer_capnp;

pub mod prelude;

pub use client::PeerClient;
pub use config::{PeerClientConfig, PeerServerConfig};
pub use error::PeerError;
pub use message::{PeerCommand, PeerReply};
pub use server::{PeerHandler, PeerServer};
pub use token::PeerToken;
