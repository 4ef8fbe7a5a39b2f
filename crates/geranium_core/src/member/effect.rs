//! Effects that the membership returns to its driver.

use std::net::SocketAddr;
use std::time::Duration;

use super::Heartbeat;
use crate::event::EventDraft;
use crate::limit::CrashDigest;

/// An action that the membership requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Sends a heartbeat and passes its answer or failure back.
    SendHeartbeat {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// The live hosts changed, or this host started: duties must be reassigned.
    MembersChanged,
    /// This process was paused, so state that it considers fresh may be stale.
    Paused(Duration),
    /// A peer reported requests that crash backend servers; holds only the changes.
    CrashesLearned(CrashDigest),
    /// Records an event.
    Emit(EventDraft),
}
