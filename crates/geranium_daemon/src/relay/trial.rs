//! Leave to run a suspect on a group.

use std::sync::Arc;

use geranium_core::limit::{CrashId, RequestFingerprint, TrialRequest};
use geranium_core::route::RouteChoice;
use geranium_peer::{PeerCommand, PeerReply};

use crate::node::Node;

/// Leave to run a suspect on a group; given back when dropped.
pub struct Trial {
    node: Arc<Node>,
    req: TrialRequest,
    released: bool,
}

impl Trial {
    /// Asks the budget holder for leave; `None` if it was refused.
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
            released: false,
        })
    }
}

/// Returns the suspect that was on trial when a group crashed, if the budget
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
    /// Lets the trial run out at its holder, which then still knows the suspect
    /// of a crash.
    pub fn retain(mut self) {
        self.released = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if self.released {
            return;
        }
        let Some(leader) = self.node.leader_address() else {
            self.node.traffic.end_trial(&self.req);
            return;
        };
        let (client, req) = (self.node.peer_client.clone(), self.req.clone());
        tokio::spawn(async move {
            // A lost message only lets the trial run out.
            let _ = client.command(leader, PeerCommand::TrialEnded(req)).await;
        });
    }
}
