//! What the peer task is told.

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

/// What a watch of the records reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// Changes in order; none only shows that the watch is alive.
    Changes(Vec<StoreChange>),
    /// The watch ended, or its changes are gone.
    Ended,
    /// The watch failed.
    Failed(StoreError),
}

/// What the peer task is told.
#[derive(Debug)]
pub enum PeerInput {
    /// A peer sent a heartbeat and waits for the answer.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// A heartbeat to an address was answered, or not.
    HeartbeatResult(SocketAddr, Option<Box<Heartbeat>>),
    /// A peer tells which versions it holds and waits for newer ones.
    Pull(RecordIndex, oneshot::Sender<PullAnswer>),
    /// A pull from a peer was answered, or not.
    PullResult(MemberInfo, Option<PullAnswer>),
    /// A peer sent versions.
    Push(MemberInfo, Vec<StoredRecord>),
    /// Somebody asks which versions of some records are in force.
    InForce(Vec<RecordKey>, oneshot::Sender<RecordIndex>),
    /// The records were read from the store, or could not be.
    StoreRead(Result<StoreRead, StoreError>),
    /// A watch reports; the number tells an old watch from the present one.
    Watch(u64, WatchEvent),
    /// A write-back has an outcome.
    WriteBackResult(Arc<StoredRecord>, WriteBackOutcome),
    /// This host wrote a change to the store.
    Accepted(Box<StoredRecord>, StoreRevision),
    /// The groups of this failure domain that take requests.
    Groups(Arc<Vec<ServingGroup>>),
    /// What became known here, or from a peer's call, of crashing requests.
    Crashes(Box<CrashDigest>),
    /// This process begins to stop.
    Leaving,
}
