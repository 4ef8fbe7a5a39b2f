//! The types that most users of this crate need.

pub use crate::{
    CasOutcome, KvStore, LeaseId, RangeRead, StoreError, StoredValue, Swap, WatchBatch, WatchChange,
};
