//! Interface to a key-value service with compare-and-swap, leases and watches.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use geranium_core::id::StoreRevision;
use tokio::sync::watch;

use crate::{StoreEra, StoreError};

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A value with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// Key of the value.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the store when the value was last changed.
    pub revision: StoreRevision,
}

/// Values below a prefix, read at one revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeRead {
    /// The values, ordered by key.
    pub values: Vec<StoredValue>,
    /// Revision of the store at the time of the read.
    pub revision: StoreRevision,
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// Key of the value.
    pub key: String,
    /// Revision that the value must have; zero if it must be absent.
    pub expected: StoreRevision,
    /// New value, or `None` to delete.
    pub value: Option<Bytes>,
    /// Lease that the value ends with.
    pub lease: Option<LeaseId>,
}

/// Outcome of a conditional write whose answer arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// Every write took effect at this revision.
    Applied(StoreRevision),
    /// Nothing was written; the present values of the keys that exist.
    Conflict(Vec<StoredValue>),
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchChange {
    /// A value was written.
    Put(StoredValue),
    /// A value was deleted or its lease ended.
    Deleted {
        /// Key of the value.
        key: String,
        /// Revision of the deletion.
        revision: StoreRevision,
    },
}

impl WatchChange {
    /// Returns the key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(value) => &value.key,
            Self::Deleted { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        match self {
            Self::Put(value) => value.revision,
            Self::Deleted { revision, .. } => *revision,
        }
    }

    /// Returns the size of the new value, in bytes; 0 for a deletion.
    #[must_use]
    pub const fn value_bytes(&self) -> usize {
        match self {
            Self::Put(value) => value.value.len(),
            Self::Deleted { .. } => 0,
        }
    }
}

/// Changes of one revision or several; an empty batch only shows progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The changes in order.
    pub changes: Vec<WatchChange>,
    /// Revision of the store that the watch has reached.
    pub revision: StoreRevision,
}

/// A key-value service with compare-and-swap, leases and watches.
///
/// Each call is bounded by a timeout of the implementation.
pub trait KvStore: Clone + Send + Sync + 'static {
    /// Returns a receiver of the newest era that any answer has stated. A service that does not
    /// state eras never sends one.
    fn era(&self) -> watch::Receiver<Option<StoreEra>> {
        watch::Sender::new(None).subscribe()
    }

    /// Reads one value.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable answer.
    fn get(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>> + Send;

    /// Reads every value below a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable answer.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<RangeRead, StoreError>> + Send;

    /// Writes all values if each has the expected revision, or none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Ambiguous`] if the write may have taken effect,
    /// and another error if it certainly did not.
    fn transact(
        &self,
        swaps: Vec<Swap>,
    ) -> impl Future<Output = Result<CasOutcome, StoreError>> + Send;

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable answer.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Prolongs a lease and returns its remaining time.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseNotFound`] if the lease has ended.
    fn keep_alive(
        &self,
        lease: LeaseId,
    ) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Ends a lease and deletes its values.
    ///
    /// # Errors
    ///
    /// Returns an error if the service gave no usable answer.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Follows the changes below a prefix, from the revision after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch could not be opened. If those changes are
    /// gone, this call or the first item of the stream gives
    /// [`StoreError::Compacted`]; if they are too many to be read one by one,
    /// [`StoreError::TooManyChanges`]. The stream ends after its first error.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
    ) -> impl Future<
        Output = Result<
            impl Stream<Item = Result<WatchBatch, StoreError>> + Send + Unpin + 'static,
            StoreError,
        >,
    > + Send;
}
