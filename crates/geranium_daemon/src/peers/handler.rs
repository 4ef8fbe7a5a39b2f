//! Handler of calls from other entry hosts.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::id::HostId;
use geranium_core::limit::TrialRequest;
use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::replication::PullAnswer;
use geranium_core::record::{RecordIndex, RecordKey, StoredRecord};
use geranium_peer::{PeerCommand, PeerHandler, PeerReply};
use tokio::sync::oneshot;

use super::PeerInput;
use crate::control::ControlInput;
use crate::node::Node;

/// Passes calls of other entry hosts to the tasks of this process.
pub struct NodePeerHandler {
    node: Arc<Node>,
    fallback: Heartbeat,
}

impl NodePeerHandler {
    /// Creates a handler that answers heartbeats with `fallback` if the peer task has ended.
    pub const fn new(node: Arc<Node>, fallback: Heartbeat) -> Self {
        Self { node, fallback }
    }

    async fn query<T>(
        &self,
        make_input: impl FnOnce(oneshot::Sender<T>) -> PeerInput,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.node.peer_tx.send(make_input(tx)).await.ok()?;
        rx.await.ok()
    }

    fn last_heard(&self, hosts: Vec<HostId>) -> Vec<(HostId, Duration)> {
        let now = self.node.clock.now();
        let view = self.node.published.view();
        let age = |host: HostId| {
            let seen = view.reports.get(&host)?;
            Some((host, now.since(seen.requested_at)))
        };
        hosts.into_iter().filter_map(age).collect()
    }

    fn grant_trial(&self, req: &TrialRequest) -> PeerReply {
        match self.node.traffic.grant_trial(self.node.clock.now(), req) {
            Ok(grant) => PeerReply::Trial(grant),
            Err(e) => PeerReply::Refused(e.to_string()),
        }
    }
}

impl PeerHandler for NodePeerHandler {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let answer = self
            .query(|tx| PeerInput::Heartbeat(Box::new(heartbeat), tx))
            .await;
        answer.unwrap_or_else(|| self.fallback.clone())
    }

    async fn pull_records(&self, _caller: MemberInfo, held: RecordIndex) -> PullAnswer {
        self.query(|tx| PeerInput::Pull(held, tx))
            .await
            .unwrap_or_default()
    }

    async fn push_records(&self, caller: MemberInfo, records: Vec<StoredRecord>) {
        let _ = self
            .node
            .peer_tx
            .send(PeerInput::Push(caller, records))
            .await;
    }

    async fn in_force(&self, keys: Vec<RecordKey>) -> RecordIndex {
        self.query(|tx| PeerInput::InForce(keys, tx))
            .await
            .unwrap_or_default()
    }

    async fn command(&self, command: PeerCommand) -> PeerReply {
        let now = self.node.clock.now();
        match command {
            PeerCommand::Credits(req) => match self.node.traffic.grant_cold_credits(now, &req) {
                Ok(grant) => PeerReply::Credits(grant),
                Err(e) => PeerReply::Refused(e.to_string()),
            },
            PeerCommand::Trial(req) => self.grant_trial(&req),
            PeerCommand::TrialEnded(req) => {
                self.node.traffic.end_trial(&req);
                PeerReply::Done
            }
            PeerCommand::SuspectOf(crash) => {
                PeerReply::Suspect(self.node.traffic.suspect_for_crash(&crash))
            }
            PeerCommand::LastHeard(hosts) => PeerReply::Heard(self.last_heard(hosts)),
            PeerCommand::Crashes(digest) => {
                self.node.traffic.import_crashes(now, &digest);
                let _ = self
                    .node
                    .peer_tx
                    .send(PeerInput::Crashes(Box::new(digest)))
                    .await;
                PeerReply::Done
            }
            PeerCommand::Table(table) => {
                let _ = self.node.control.send(ControlInput::Table(table)).await;
                PeerReply::Done
            }
            PeerCommand::OperatorAddress => {
                PeerReply::OperatorAddress(self.node.settings.operator_address)
            }
        }
    }
}
