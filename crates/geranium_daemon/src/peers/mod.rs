//! Communication between entry hosts: membership, replication of records, commands.
//!
//! A single [`PeerTask`] owns the membership and the records, so that they need no lock. It
//! sends the records in force to the control task.

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
