//! Replication of records from the platform's store to all entry hosts.
//!
//! One or two hosts of each failure domain watch the platform's store. The other
//! hosts receive records from their peers, and read the store themselves if no
//! peer confirms that their records are up to date. A host only adopts newer
//! versions, so that neither a restart, nor a store restored from an older copy,
//! nor an outdated peer reverts a record.

mod adopt;
mod effect;
mod follower;
mod peer_sync;
mod replica;
mod store_view;
mod timing;

pub use effect::{ConfigEffect, PullAnswer, StoreChange, StoreRead, WriteBackOutcome};
pub use replica::ConfigReplica;
pub use timing::ReplicationTiming;
