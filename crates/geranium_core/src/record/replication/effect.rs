//! Messages between the spread of records and its driver.

use std::sync::Arc;

use crate::event::EventDraft;
use crate::id::StoreRevision;
use crate::member::MemberInfo;
use crate::record::{RecordIndex, RecordKey, StoredRecord};

/// What the spread of records asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Reads every record from the store.
    ReadStore,
    /// Follows the records in the store, from the change after a revision.
    StartWatch {
        /// Revision of the read that the watch continues.
        after: StoreRevision,
    },
    /// Ends the watch, if there is one.
    StopWatch,
    /// Tells a peer which versions are held here and asks for newer ones.
    PullFromPeer {
        /// The peer.
        peer: MemberInfo,
        /// Versions held here.
        index: RecordIndex,
    },
    /// Sends versions to peers.
    PushToPeers {
        /// The peers.
        peers: Vec<MemberInfo>,
        /// The versions.
        records: Vec<Arc<StoredRecord>>,
    },
    /// Writes a version that the store has lost, if its value is still as known.
    WriteBack {
        /// The version.
        record: Arc<StoredRecord>,
        /// Revision that the value must have; zero if it must be absent.
        expected: StoreRevision,
    },
    /// The records in force changed.
    RecordsChanged,
    /// Records an event.
    Emit(EventDraft),
}

/// Every record of the store, read at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// The records, each with the revision of its value.
    pub records: Vec<(StoredRecord, StoreRevision)>,
    /// Revision of the store.
    pub revision: StoreRevision,
}

/// One change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// A value was written.
    Put(StoredRecord, StoreRevision),
    /// A value was deleted, which no operator's change does.
    Deleted(RecordKey),
}

/// What became of a write-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteBackOutcome {
    /// It took effect at this revision.
    Applied(StoreRevision),
    /// The value had changed; what the store holds now, if anything.
    Conflict(Option<(StoredRecord, StoreRevision)>),
    /// It is not known to have taken effect.
    Failed,
}

/// Answer of a peer to the versions that another host holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullAnswer {
    /// Versions that are newer at the peer.
    pub records: Vec<Arc<StoredRecord>>,
    /// Records of which the peer has an older version or none.
    pub wanted: Vec<RecordKey>,
    /// Whether newer versions remain; one message has a bounded size.
    pub has_more: bool,
}
