//! How an accepted record comes into force on every host.
//!
//! One or two hosts of a failure domain follow the platform's store; the others
//! learn from peers, and read the store themselves if nobody vouches for what
//! they hold. A host adopts newer versions only, so that neither a restart, a
//! store restored from an older copy nor an outdated peer reverts a record.

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
