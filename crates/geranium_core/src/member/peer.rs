//! State of one peer.

use std::time::Duration;

use super::{ConfigStatus, Heartbeat, MemberInfo, duty};
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Liveness of a peer, as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// Listed by another peer; it has not answered this host yet.
    Unheard,
    /// Heard from recently.
    Alive,
    /// Silent for longer than the suspicion timeout.
    Suspected,
}

/// State of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) info: MemberInfo,
    /// Hash that the peer contributes to the roster digest.
    pub(super) member_hash: u64,
    pub(super) state: PeerState,
    /// Uptime of this process when the peer was last heard from.
    pub(super) heard_uptime: Duration,
    /// Time when the peer was last heard from.
    pub(super) heard_at: Timestamp,
    /// Time when the next heartbeat is due.
    pub(super) due: Timestamp,
    /// Send time of the heartbeat that awaits an answer, if any.
    pub(super) in_flight: Option<Timestamp>,
    pub(super) config: ConfigStatus,
    /// Digest over the peer's list of live hosts.
    pub(super) roster_digest: u64,
    /// Latest `sent_at` of the peer's messages.
    pub(super) sent_at: Timestamp,
    /// Sequence number up to which the peer has applied this host's log.
    pub(super) acked: u64,
    /// Sequence number up to which this host has applied the peer's log.
    pub(super) received: u64,
}

impl Peer {
    pub(super) fn new(info: MemberInfo, now: Timestamp, uptime: Duration) -> Self {
        Self {
            member_hash: member_hash(&info),
            info,
            state: PeerState::Unheard,
            heard_uptime: uptime,
            heard_at: now,
            due: now,
            in_flight: None,
            config: ConfigStatus::default(),
            roster_digest: 0,
            sent_at: Timestamp::default(),
            acked: 0,
            received: 0,
        }
    }

    /// Updates the state from the parts of a heartbeat that concern the peer itself.
    pub(super) fn update(
        &mut self,
        heartbeat: &Heartbeat,
        local_incarnation: Incarnation,
        now: Timestamp,
        uptime: Duration,
    ) {
        if heartbeat.sender.incarnation != self.info.incarnation {
            // A new incarnation starts with an empty log and has applied nothing from
            // this host's log.
            self.acked = 0;
            self.received = 0;
            self.sent_at = Timestamp::default();
        }
        if self.info != heartbeat.sender {
            self.info = heartbeat.sender.clone();
            self.member_hash = member_hash(&self.info);
        }
        self.state = PeerState::Alive;
        self.heard_uptime = uptime;
        self.heard_at = now;
        self.in_flight = None;
        self.config = heartbeat.config;
        self.roster_digest = heartbeat.roster_digest;
        self.sent_at = self.sent_at.max(heartbeat.sent_at);
        if heartbeat.acked_incarnation == local_incarnation {
            self.acked = heartbeat.acked;
        }
    }

    /// Returns whether the peer can be assigned duties.
    pub(super) fn is_active(&self) -> bool {
        self.state == PeerState::Alive && !self.info.leaving
    }
}

/// Returns the hash that a host contributes to the roster digest.
pub(super) fn member_hash(info: &MemberInfo) -> u64 {
    let state = format!("{}/{}", info.incarnation, info.leaving);
    duty::weight(&state, &info.host)
}
