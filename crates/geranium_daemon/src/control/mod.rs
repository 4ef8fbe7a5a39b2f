//! Group control of an entry host.
//!
//! One [`ControlTask`] owns the state of group control, so that no lock is needed.
//! Other tasks read the store, engines and peers, and send it [`ControlInput`]s.

mod cache_poller;
mod input;
mod leader;
mod orders;
mod published;
mod reports;
mod store_watcher;
mod table_store;
mod task;

pub use cache_poller::poll_cache_events;
pub use input::ControlInput;
pub use leader::{LeaderElection, leader_key};
pub use published::{ControlView, PublishedControl};
pub use store_watcher::{StoreWatcher, WatchTarget};
pub use table_store::table_key;
pub use task::ControlTask;

/// Prefix of the platform's list of hosts.
pub const HOST_PREFIX: &str = "/platform/hosts/";
