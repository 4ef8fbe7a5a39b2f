//! Other entry hosts: membership, spread of records, commands.
//!
//! One [`PeerTask`] owns the membership and the records, so that they need no
//! lock. It tells the control task which records are in force.

mod handler;
mod input;
mod record_store;
mod sender;
mod task;
mod view;

pub use handler::NodePeerHandler;
pub use input::{PeerInput, WatchEvent};
pub use task::PeerTask;
pub use view::{KnownHost, PeerView, PublishedPeers};
