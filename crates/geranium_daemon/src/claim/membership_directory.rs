//! Status of claim holders according to the membership.

use std::sync::Arc;

use geranium_core::once::{ClaimHolder, HolderStatus};
use geranium_core::time::Timestamp;
use geranium_telemetry::EventRecorder;

use super::HolderDirectory;
use crate::peers::PublishedPeers;

/// Looks up claim holders in the membership.
pub struct MembershipDirectory {
    /// Event recorder, which knows the identity of this process.
    pub recorder: Arc<EventRecorder>,
    /// Other entry hosts.
    pub peers: Arc<PublishedPeers>,
}

impl HolderDirectory for MembershipDirectory {
    fn status(&self, _now: Timestamp, holder: &ClaimHolder) -> HolderStatus {
        let identity = self.recorder.identity();
        let is_own_process =
            holder.host == identity.host && holder.incarnation == identity.incarnation;
        let peers = self.peers.view();
        let is_live_peer = peers
            .hosts
            .get(&holder.host)
            .is_some_and(|peer| peer.info.incarnation == holder.incarnation && !peer.silent);
        if is_own_process || is_live_peer {
            HolderStatus::Live
        } else {
            HolderStatus::Gone
        }
    }
}
