//! Calls on their way to the thread that holds the connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::call::{
    CommandCall, HeartbeatCall, InForceCall, PeerCall, PullRecordsCall, PushRecordsCall,
};
use crate::PeerError;

/// A call with its receiver, its time limit and where its answer goes.
pub(super) struct Request<C: PeerCall> {
    pub(super) to: SocketAddr,
    pub(super) call: C,
    pub(super) limit: Duration,
    pub(super) reply: oneshot::Sender<Result<C::Answer, PeerError>>,
}

/// A call of any kind.
pub(super) enum Job {
    Heartbeat(Request<HeartbeatCall>),
    PullRecords(Request<PullRecordsCall>),
    PushRecords(Request<PushRecordsCall>),
    InForce(Request<InForceCall>),
    Command(Request<CommandCall>),
}
