//! What a host does with the calls of its peers.

use std::future::Future;

use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};

use crate::{PeerCommand, PeerReply};

/// What a host does with the calls of its peers.
///
/// The futures run on the thread of the server: they may wait, but must not block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes in a heartbeat and returns the answer to it.
    fn heartbeat(&self, heartbeat: Heartbeat) -> impl Future<Output = Heartbeat> + Send;

    /// Answers a peer that tells which versions of records it holds.
    fn pull_records(
        &self,
        caller: MemberInfo,
        held: RecordIndex,
    ) -> impl Future<Output = PullAnswer> + Send;

    /// Takes in records that a peer sends.
    fn push_records(
        &self,
        caller: MemberInfo,
        records: Vec<StoredRecord>,
    ) -> impl Future<Output = ()> + Send;

    /// Tells which versions of some records are in force here.
    fn in_force(&self, keys: Vec<RecordKey>) -> impl Future<Output = RecordIndex> + Send;

    /// Carries out a command.
    fn command(&self, command: PeerCommand) -> impl Future<Output = PeerReply> + Send;
}
