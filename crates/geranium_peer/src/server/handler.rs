//! What a host does with the calls of its peers.

use std::future::Future;
use std::time::Duration;

use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::spread::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};

use crate::{ClaimState, CreditGrant, CreditRequest, DrainNotice};

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

    /// Grants cold-start credits.
    fn cold_credits(&self, request: CreditRequest) -> impl Future<Output = CreditGrant> + Send;

    /// Tells the state of a claim; waits up to `wait` while it is running.
    fn claim_state(&self, key: String, wait: Duration) -> impl Future<Output = ClaimState> + Send;

    /// Takes note that a failure domain or a host leaves or is back.
    fn drain_notice(&self, notice: DrainNotice) -> impl Future<Output = ()> + Send;
}
