//! Client of the platform's key-value service.
//!
//! [`KvStore`] is the interface that the rest of the system uses; another
//! service can take the platform's place by implementing it. [`EtcdClient`]
//! implements it over the JSON gateway of etcd 3.

mod counter;
mod era;
mod error;
pub mod etcd;
mod rate;
mod store;

pub mod prelude;

pub use counter::{StoreCallCounter, StoreCallKind, StoreCallResult};
pub use era::{EraTracker, StoreEra};
pub use error::StoreError;
pub use etcd::{EtcdClient, EtcdConfig};
pub use rate::TokenBucket;
pub use store::{
    CasOutcome, KvStore, LeaseId, RangeRead, StoredValue, Swap, WatchBatch, WatchChange,
};
