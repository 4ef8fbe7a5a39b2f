//! Periodic processing of request queues and cold-start credits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::limit::CreditRequest;
use geranium_core::time::Timestamp;
use geranium_peer::{PeerCommand, PeerReply};
use tokio::time::MissedTickBehavior;

use crate::node::Node;

/// Interval at which request queues and cold-start credits are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Processes request queues and cold-start credits at a fixed interval.
pub async fn tick_traffic(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        request_cold_credits(&node);
        for draft in node.traffic.take_events() {
            node.record(draft);
        }
    }
}

/// Requests cold-start credits from the leader, which holds the cold-start budget.
fn request_cold_credits(node: &Arc<Node>) {
    let now = node.clock.now();
    let leader = node.leader_address();
    for req in node.traffic.tick(now) {
        match leader {
            Some(leader) => {
                tokio::spawn(request_from_leader(node.clone(), leader, req));
            }
            None => request_from_own_budget(node, now, &req),
        }
    }
}

fn request_from_own_budget(node: &Node, now: Timestamp, req: &CreditRequest) {
    match node.traffic.grant_cold_credits(now, req) {
        Ok(grant) => node.traffic.add_cold_credits(node.clock.now(), &grant),
        Err(e) => log::debug!(
            "cold-start credits for group {} not granted: {e}",
            req.group
        ),
    }
}

async fn request_from_leader(node: Arc<Node>, leader: SocketAddr, req: CreditRequest) {
    let call = node.peer_client.command(leader, PeerCommand::Credits(req));
    match call.await {
        Ok(PeerReply::Credits(grant)) => {
            node.traffic.add_cold_credits(node.clock.now(), &grant);
        }
        Ok(reply) => log::debug!("cold-start credits not granted: {reply:?}"),
        Err(e) => log::debug!("request for cold-start credits failed: {e}"),
    }
}
