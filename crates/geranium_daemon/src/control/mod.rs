//! Control duties of an entry host.
//!
//! One [`ControlTask`] owns the aggregates of group control, so that they need no
//! lock; helper tasks read the outside world and send it [`ControlInput`]s.

mod cache_poller;
mod input;
mod leader;
mod mirror;
mod orders;
mod published;
mod reports;
mod table_store;
mod task;

pub use cache_poller::follow_caches;
pub use input::ControlInput;
pub use leader::{LeaderCampaign, leader_key};
pub use mirror::{MirrorTarget, StoreMirror};
pub use published::{ControlView, Published};
pub use table_store::table_key;
pub use task::ControlTask;

/// Prefix of the platform's list of hosts.
pub const HOST_PREFIX: &str = "/platform/hosts/";
