//! The types that most users of this crate need.

pub use crate::{
    CasOutcome, EtcdClient, EtcdConfig, KvStore, LeaseId, RangeRead, StoreCallCounter, StoreError,
    StoredValue, Swap, WatchBatch, WatchChange,
};
