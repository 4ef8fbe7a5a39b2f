//! What a host does with the calls of its peers.

use std::future::Future;
use std::time::Duration;

use geranium_core::limit::{
    CrashDigest, CreditGrant, CreditRefusal, CreditRequest, TrialGrant, TrialRefusal, TrialRequest,
};
use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::spread::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};

use crate::{ClaimState, DrainNotice};

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

    /// Answers a request for cold-start credits.
    fn cold_credits(
        &self,
        request: CreditRequest,
    ) -> impl Future<Output = Result<CreditGrant, CreditRefusal>> + Send;

    /// Tells the state of a claim; waits up to `wait` while it is running.
    fn claim_state(&self, key: String, wait: Duration) -> impl Future<Output = ClaimState> + Send;

    /// Takes note that a failure domain or a host leaves or is back.
    fn drain_notice(&self, notice: DrainNotice) -> impl Future<Output = ()> + Send;

    /// Answers a request to run a suspect on a group.
    fn start_trial(
        &self,
        request: TrialRequest,
    ) -> impl Future<Output = Result<TrialGrant, TrialRefusal>> + Send;

    /// Ends the trial that a request began.
    fn end_trial(&self, request: TrialRequest) -> impl Future<Output = ()> + Send;

    /// Takes in what a peer knows about requests that crash backend servers.
    fn share_crashes(&self, digest: CrashDigest) -> impl Future<Output = ()> + Send;
}
