//! Stand-in for the platform's key-value service: etcd 3 over its JSON gateway.
//!
//! It keeps its values in memory and serves `/v3/kv/range`, `/v3/kv/put`, `/v3/kv/txn`,
//! `/v3/lease/grant`, `/v3/lease/keepalive`, `/v3/lease/revoke` and `/v3/watch`
//! with the messages of [`geranium_platform::etcd::wire`].
//!
//! What it leaves out: replication and elections (one process is the whole
//! service), authentication, range options (limit, sort, keys only, older
//! revisions), transactions with comparisons other than the revision of the
//! last change, deletes outside of a transaction, several watches on one
//! call, filters, and what the gateway reports about members and memory.
//!
//! | module | duty |
//! | --- | --- |
//! | `state` | values, leases and history, with the present time as an argument |
//! | `call` | kinds of calls, their rate limits and counts |
//! | `watcher` | the messages of one watch |
//! | `handler` | the calls of the gateway |
//! | `fault` | what can be made to fail, and the counts |
//! | `server` | the running stand-in |

mod call;
mod change;
mod config;
mod error;
mod fault;
mod handler;
mod key_range;
mod leases;
mod server;
mod state;
mod watcher;

pub use change::Change;
pub use config::PlatformConfig;
pub use error::PlatformError;
pub use fault::{PlatformFault, PlatformStats};
pub use server::FakePlatform;
pub use state::PlatformState;
