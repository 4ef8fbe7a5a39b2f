//! Client of the platform's key-value service.
//!
//! [`KvStore`] is the interface that the rest of the system uses; another
//! service can take the platform's place by implementing it.

mod error;
mod store;

pub mod prelude;

pub use error::StoreError;
pub use store::{
    CasOutcome, KvStore, LeaseId, RangeRead, StoredValue, Swap, WatchBatch, WatchChange,
};
