//! Inputs and effects of record replication.

use std::sync::Arc;

use crate::event::EventDraft;
use crate::id::StoreRevision;
use crate::member::MemberInfo;
use crate::record::{RecordIndex, RecordKey, StoredRecord};

/// Action that record replication requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Reads all records from the store.
    ReadStore,
    /// Watches the records in the store, from the first change after a revision.
    StartWatch {
        /// Revision of the preceding read.
        after: StoreRevision,
    },
    /// Stops the watch, if there is one.
    StopWatch,
    /// Sends a peer the index of the held versions and requests newer ones.
    PullFromPeer {
        /// The peer.
        peer: MemberInfo,
        /// Versions held by this host.
        index: RecordIndex,
    },
    /// Sends versions to peers.
    PushToPeers {
        /// The peers.
        peers: Vec<MemberInfo>,
        /// The versions.
        records: Vec<Arc<StoredRecord>>,
    },
    /// Writes a version that the store has lost, if the value in the store is
    /// still at the expected revision.
    WriteBack {
        /// The version.
        record: Arc<StoredRecord>,
        /// Revision that the value must have, or zero if it must be absent.
        expected: StoreRevision,
    },
    /// The records in force changed.
    RecordsChanged,
    /// Records an event.
    Emit(EventDraft),
}

/// All records of the store, read at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// The records, each with the revision of its value.
    pub records: Vec<(StoredRecord, StoreRevision)>,
    /// Revision of the store.
    pub revision: StoreRevision,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// A value was written.
    Put(StoredRecord, StoreRevision),
    /// A value was deleted from the store. Operators' deletions write a tombstone
    /// instead.
    Deleted(RecordKey),
}

/// Outcome of a write-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteBackOutcome {
    /// The write took effect at this revision.
    Applied(StoreRevision),
    /// The value in the store had changed; this is its present state, if it exists.
    Conflict(Option<(StoredRecord, StoreRevision)>),
    /// The write is not known to have taken effect.
    Failed,
}

/// Answer of a peer to a pull.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullAnswer {
    /// Versions at the peer that are newer than those of the pulling host.
    pub records: Vec<Arc<StoredRecord>>,
    /// Records of which the peer holds an older version or none.
    pub wanted: Vec<RecordKey>,
    /// Whether the peer has more newer versions than fit into one message.
    pub has_more: bool,
}
