//! Permits to run a suspected request on a group.

use std::sync::Arc;

use geranium_core::limit::{CrashId, RequestFingerprint, TrialRequest};
use geranium_core::route::RouteChoice;
use geranium_peer::{PeerCommand, PeerReply};

use crate::node::Node;

/// Permit to run a request suspected of causing crashes on a group; released on drop.
pub struct Trial {
    node: Arc<Node>,
    req: TrialRequest,
    retained: bool,
}

impl Trial {
    /// Requests a permit from the budget holder; returns `None` if it was refused.
    pub async fn request(
        node: &Arc<Node>,
        fingerprint: RequestFingerprint,
        choice: &RouteChoice,
    ) -> Option<Self> {
        let now = node.clock.now();
        let identity = node.recorder.identity();
        let req = TrialRequest {
            user: identity.host.clone(),
            incarnation: identity.incarnation,
            group: choice.group.clone(),
            generation: choice.generation,
            fingerprint,
            asked_at: now,
        };
        let granted = match node.leader_address() {
            None => node.traffic.grant_trial(now, &req).is_ok(),
            Some(leader) => {
                let reply = node
                    .peer_client
                    .command(leader, PeerCommand::Trial(req.clone()));
                matches!(reply.await, Ok(PeerReply::Trial(_)))
            }
        };
        granted.then(|| Self {
            node: node.clone(),
            req,
            retained: false,
        })
    }
}

/// Returns the suspect that was on trial on a group when it crashed, if the budget
/// holder knows one.
pub async fn suspect_for_crash(node: &Node, crash: &CrashId) -> Option<RequestFingerprint> {
    let Some(leader) = node.leader_address() else {
        return node.traffic.suspect_for_crash(crash);
    };
    let reply = node
        .peer_client
        .command(leader, PeerCommand::SuspectOf(crash.clone()));
    match reply.await {
        Ok(PeerReply::Suspect(suspect)) => suspect,
        _ => None,
    }
}

impl Trial {
    /// Leaves the trial to expire at the budget holder, which can then still name the
    /// suspect for the crash.
    pub fn retain(mut self) {
        self.retained = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.retained {
            return;
        }
        let Some(leader) = self.node.leader_address() else {
            self.node.traffic.end_trial(&self.req);
            return;
        };
        let (client, req) = (self.node.peer_client.clone(), self.req.clone());
        tokio::spawn(async move {
            // If the message is lost, the trial ends when its lifetime expires.
            let _ = client.command(leader, PeerCommand::TrialEnded(req)).await;
        });
    }
}
