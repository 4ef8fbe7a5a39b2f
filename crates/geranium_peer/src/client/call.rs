//! Calls and how each is made.

use std::future::Future;
use std::sync::Arc;

use capnp::Result;
use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};

use crate::peer_capnp::entry_host::Client;
use crate::wire;
use crate::{PeerCommand, PeerReply};

/// A call that can be made to a peer.
pub(super) trait PeerCall: Send + 'static {
    /// What the peer answers.
    type Answer: Send + 'static;

    /// Makes the call.
    fn make(self, host: Client) -> impl Future<Output = Result<Self::Answer>>;
}

pub(super) struct HeartbeatCall(pub(super) Box<Heartbeat>);

impl PeerCall for HeartbeatCall {
    type Answer = Heartbeat;

    async fn make(self, host: Client) -> Result<Heartbeat> {
        let mut request = host.heartbeat_request();
        wire::write_heartbeat(request.get().init_heartbeat(), &self.0);
        let response = request.send().promise.await?;
        wire::read_heartbeat(response.get()?.get_answer()?)
    }
}

pub(super) struct PullRecordsCall {
    pub(super) caller: MemberInfo,
    pub(super) held: RecordIndex,
}

impl PeerCall for PullRecordsCall {
    type Answer = PullAnswer;

    async fn make(self, host: Client) -> Result<PullAnswer> {
        let mut request = host.pull_records_request();
        wire::write_member(request.get().init_caller(), &self.caller);
        let held = request.get().init_held(wire::count(self.held.0.len()));
        wire::write_versions(held, &self.held);
        let response = request.send().promise.await?;
        wire::read_pull_answer(response.get()?.get_answer()?)
    }
}

pub(super) struct PushRecordsCall {
    pub(super) caller: MemberInfo,
    pub(super) records: Vec<Arc<StoredRecord>>,
}

impl PeerCall for PushRecordsCall {
    type Answer = ();

    async fn make(self, host: Client) -> Result<()> {
        let mut request = host.push_records_request();
        wire::write_member(request.get().init_caller(), &self.caller);
        let records = request.get().init_records(wire::count(self.records.len()));
        wire::write_records(records, &self.records);
        request.send().promise.await?;
        Ok(())
    }
}

pub(super) struct InForceCall(pub(super) Vec<RecordKey>);

impl PeerCall for InForceCall {
    type Answer = RecordIndex;

    async fn make(self, host: Client) -> Result<RecordIndex> {
        let mut request = host.in_force_request();
        let mut keys = request.get().init_keys(wire::count(self.0.len()));
        for (i, key) in (0..).zip(&self.0) {
            keys.set(i, key.to_string().as_str());
        }
        let response = request.send().promise.await?;
        wire::read_versions(response.get()?.get_versions()?)
    }
}

pub(super) struct CommandCall(pub(super) PeerCommand);

impl PeerCall for CommandCall {
    type Answer = PeerReply;

    async fn make(self, host: Client) -> Result<PeerReply> {
        let mut request = host.command_request();
        request.get().set_command(&wire::write_json(&self.0)?);
        let response = request.send().promise.await?;
        wire::read_json(response.get()?.get_reply()?)
    }
}
