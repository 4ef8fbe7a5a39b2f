//! Sends heartbeats and records to peers.

use std::net::SocketAddr;
use std::sync::Arc;

use geranium_core::member::{Heartbeat, MemberInfo};
use geranium_core::record::{RecordIndex, StoredRecord};
use geranium_peer::PeerClient;
use tokio::sync::mpsc;

use super::PeerInput;

/// Sends messages to peers and their outcomes to the peer task.
pub struct PeerSender {
    client: PeerClient,
    tx: mpsc::Sender<PeerInput>,
}

impl PeerSender {
    /// Creates a sender.
    pub const fn new(client: PeerClient, tx: mpsc::Sender<PeerInput>) -> Self {
        Self { client, tx }
    }

    /// Sends a heartbeat; the answer goes to the peer task.
    pub fn heartbeat(&self, to: SocketAddr, heartbeat: Heartbeat) {
        let (client, tx) = (self.client.clone(), self.tx.clone());
        tokio::spawn(async move {
            let answer = client.heartbeat(to, heartbeat).await;
            let answer = answer
                .inspect_err(|e| log::debug!("heartbeat failed: {e}"))
                .ok()
                .map(Box::new);
            let _ = tx.send(PeerInput::HeartbeatResult(to, answer)).await;
        });
    }

    /// Requests newer versions of records from a peer; the answer goes to the peer task.
    pub fn pull(&self, local: &MemberInfo, peer: MemberInfo, index: RecordIndex) {
        let (client, tx, local) = (self.client.clone(), self.tx.clone(), local.clone());
        tokio::spawn(async move {
            let answer = client.pull_records(peer.peer_address, local, index).await;
            let answer = answer
                .inspect_err(|e| log::debug!("pull of records failed: {e}"))
                .ok();
            let _ = tx.send(PeerInput::PullResult(peer, answer)).await;
        });
    }

    /// Sends versions of records to peers. A failed push is not repeated, because a later pull
    /// fetches the same versions.
    pub fn push(&self, local: &MemberInfo, peers: Vec<MemberInfo>, records: &[Arc<StoredRecord>]) {
        for peer in peers {
            let (client, local, records) = (self.client.clone(), local.clone(), records.to_vec());
            tokio::spawn(async move {
                if let Err(e) = client.push_records(peer.peer_address, local, records).await {
                    log::debug!("push of records failed: {e}");
                }
            });
        }
    }
}
