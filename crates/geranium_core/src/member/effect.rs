//! What the membership asks its driver to do.

use std::net::SocketAddr;
use std::time::Duration;

use super::Heartbeat;
use crate::event::EventDraft;
use crate::limit::CrashDigest;

/// What the membership asks its driver to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Sends a heartbeat and hands its answer or failure back.
    SendHeartbeat {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        heartbeat: Box<Heartbeat>,
    },
    /// The live hosts changed: duties are to be worked out anew.
    MembersChanged,
    /// This process was paused: whatever it believes to be fresh may be old.
    Paused(Duration),
    /// A peer told of requests that crash backend servers; only what is news.
    CrashesLearned(CrashDigest),
    /// Records an event.
    Emit(EventDraft),
}
