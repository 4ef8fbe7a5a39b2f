//! What a host knows of one peer.

use std::time::Duration;

use super::{ConfigStatus, Heartbeat, MemberInfo, duty};
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Whether a peer is believed to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// Another peer named it; it has not answered yet.
    Unheard,
    /// It was heard of lately.
    Alive,
    /// It was silent for too long.
    Suspected,
}

/// What a host knows of one peer.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) info: MemberInfo,
    /// Share of the peer in the digest of the live hosts.
    pub(super) member_hash: u64,
    pub(super) state: PeerState,
    /// Awake time of this process when the peer was last heard.
    pub(super) heard_uptime: Duration,
    /// Time when the peer was last heard.
    pub(super) heard_at: Timestamp,
    /// Time when the next heartbeat is due.
    pub(super) due: Timestamp,
    /// Whether a heartbeat waits for its answer, and since when.
    pub(super) in_flight: Option<Timestamp>,
    pub(super) config: ConfigStatus,
    /// Digest of the peer's list of live hosts.
    pub(super) roster_digest: u64,
    /// `sent_at` of the peer's last message.
    pub(super) sent_at: Timestamp,
    /// Number up to which the peer has taken in this host's log.
    pub(super) acked: u64,
    /// Number up to which this host has taken in the peer's log.
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

    /// Takes in the part of a heartbeat that concerns the peer itself.
    pub(super) fn update(
        &mut self,
        heartbeat: &Heartbeat,
        local_incarnation: Incarnation,
        now: Timestamp,
        uptime: Duration,
    ) {
        if heartbeat.sender.incarnation != self.info.incarnation {
            // A new run starts an empty log and has taken in nothing of ours.
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

    /// Returns whether the peer may have duties.
    pub(super) fn is_active(&self) -> bool {
        self.state == PeerState::Alive && !self.info.leaving
    }
}

/// Returns the share of a host in the digest of the live hosts.
pub(super) fn member_hash(info: &MemberInfo) -> u64 {
    let state = format!("{}/{}", info.incarnation, info.leaving);
    duty::weight(&state, &info.host)
}
