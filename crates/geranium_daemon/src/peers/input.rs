//! Inputs of the peer task.

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::group::ServingGroup;
use geranium_core::id::StoreRevision;
use geranium_core::limit::CrashDigest;
use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::replication::{PullAnswer, StoreChange, StoreRead, WriteBackOutcome};
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};
use geranium_platform::StoreError;
use tokio::sync::oneshot;

/// Event of a watch of the records in the store.
#[derive(Debug)]
pub enum WatchEvent {
    /// Changes in order. An empty list only shows that the watch is alive.
    Changes(Vec<StoreChange>),
    /// The watch ended, or the store has compacted its changes.
    Ended,
    /// The watch failed.
    Failed(StoreError),
}

/// Input of the peer task.
#[derive(Debug)]
pub enum PeerInput {
    /// A heartbeat from a peer, which waits for the answer.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// Outcome of a heartbeat to an address: the answer, or `None` if it failed.
    HeartbeatResult(SocketAddr, Option<Box<Heartbeat>>),
    /// A pull from a peer, with the versions that it has; it waits for newer ones.
    Pull(RecordIndex, oneshot::Sender<PullAnswer>),
    /// Outcome of a pull from a peer: the answer, or `None` if it failed.
    PullResult(MemberInfo, Option<PullAnswer>),
    /// Versions of records that a peer pushed.
    Push(MemberInfo, Vec<StoredRecord>),
    /// A query which versions of some records are in force.
    InForce(Vec<RecordKey>, oneshot::Sender<RecordIndex>),
    /// Outcome of reading the records from the store.
    StoreRead(Result<StoreRead, StoreError>),
    /// Event of a watch; the number distinguishes the current watch from older ones.
    Watch(u64, WatchEvent),
    /// Outcome of a write-back to the store.
    WriteBackResult(Arc<StoredRecord>, WriteBackOutcome),
    /// A change that this host wrote to the store.
    Accepted(Box<StoredRecord>, StoreRevision),
    /// The groups of this failure domain that accept requests.
    Groups(Arc<Vec<ServingGroup>>),
    /// Digest of crashing requests, from this host or from a peer.
    Crashes(Box<CrashDigest>),
    /// This process starts to shut down.
    Leaving,
}
