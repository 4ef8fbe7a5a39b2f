//! Handling of received and failed heartbeats.

use std::net::SocketAddr;

use super::contact::Contact;
use super::peer::Peer;
use super::shared::{SharedItem, SharedKey, put_crashes};
use super::{Heartbeat, MemberEffect, MemberInfo, Membership, PeerState, duty};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::HostId;
use crate::limit::CrashDigest;
use crate::time::Timestamp;

impl Membership {
    /// Processes a received heartbeat, either a call or an answer.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Timestamp,
    ) -> Vec<MemberEffect> {
        let mut effects = self.advance(now);
        let sender = &heartbeat.sender;
        self.update_seed(sender);
        if sender.host == self.config.local.host {
            return effects;
        }
        if self.is_outdated(sender) {
            return effects;
        }
        if sender.failure_domain == self.config.local.failure_domain {
            self.receive_from_peer(heartbeat, now, &mut effects);
        } else {
            self.receive_from_other_domain(heartbeat, now);
        }
        self.apply_delta(heartbeat, now, &mut effects);
        effects
    }

    /// Returns a lower bound, on this host's clock, for the time at which a
    /// heartbeat was created.
    ///
    /// A heartbeat may have been delayed in the network or by a pause of this
    /// process, so its arrival time proves nothing. It echoes the send time of a
    /// message of this host that its sender had already processed, so its contents
    /// were valid after that time. Clocks of different hosts are never compared.
    #[must_use]
    pub fn confirmed_at(&self, heartbeat: &Heartbeat) -> Option<Timestamp> {
        let is_current_run = heartbeat.acked_incarnation == self.config.local.incarnation;
        (is_current_run && heartbeat.echo > Timestamp::default()).then_some(heartbeat.echo)
    }

    /// Records that a heartbeat to an address got no answer.
    pub fn heartbeat_failed(&mut self, to: SocketAddr, now: Timestamp) -> Vec<MemberEffect> {
        let effects = self.advance(now);
        let retry_at = now + self.interval();
        let failed = |p: &&mut Peer| p.info.peer_address == to;
        if let Some(peer) = self.peers.values_mut().find(failed) {
            peer.in_flight = None;
            peer.due = retry_at;
        }
        let pending = |c: &&mut Contact| c.pending == Some(to);
        if let Some(contact) = self.contacts.values_mut().find(pending) {
            contact.pending = None;
            contact.attempts += 1;
            contact.due = retry_at;
        }
        effects
    }

    fn update_seed(&mut self, sender: &MemberInfo) {
        let interval = self.config.timing.seed_interval;
        let is_self = sender.host == self.config.local.host;
        let matching = self
            .seeds
            .iter_mut()
            .filter(|seed| seed.address == sender.peer_address);
        for seed in matching {
            seed.record_answer(sender.failure_domain.clone(), interval);
            seed.is_self = is_self;
        }
    }

    /// Returns whether a later incarnation of the sender was heard from recently.
    ///
    /// Once that incarnation falls silent, a lower number is accepted, because the
    /// clock of a replaced host may be behind.
    fn is_outdated(&self, sender: &MemberInfo) -> bool {
        let known = self.peers.get(&sender.host);
        let known = known.or_else(|| self.remote_hosts.get(&sender.host));
        let limit = self.config.timing.suspect_after_for(self.peers.len());
        known.is_some_and(|peer| {
            let silence = self.clock.uptime().saturating_sub(peer.heard_uptime);
            peer.info.incarnation > sender.incarnation && silence <= limit
        })
    }

    fn receive_from_peer(
        &mut self,
        heartbeat: &Heartbeat,
        now: Timestamp,
        effects: &mut Vec<MemberEffect>,
    ) {
        let sender = &heartbeat.sender;
        let (local, uptime, interval) = (
            self.config.local.incarnation,
            self.clock.uptime(),
            self.interval(),
        );
        // The host with the smaller name calls. The other one waits a quarter of the
        // interval longer, so it calls only if the first one does not.
        let delay = if self.config.local.host < sender.host {
            interval
        } else {
            interval + interval / 4
        };
        let peer = self
            .peers
            .entry(sender.host.clone())
            .or_insert_with(|| Peer::new(sender.clone(), now, uptime));
        let before = (peer.is_active(), peer.state, peer.info.leaving);
        let was_restarted = peer.info.incarnation != sender.incarnation;
        peer.update(heartbeat, local, now, uptime);
        peer.due = now + delay;
        let after = (peer.is_active(), peer.state, peer.info.leaving);
        if was_restarted {
            self.reports.forget_observer(&sender.host);
        }
        if let Some(confirmed_at) = self.confirmed_at(heartbeat) {
            self.reports.confirm_observer(&sender.host, confirmed_at);
        }
        if before.0 != after.0 || was_restarted {
            effects.push(MemberEffect::MembersChanged);
        }
        if before.1 != PeerState::Alive || was_restarted {
            effects.push(peer_joined(sender, before.1));
        }
        if after.2 && !before.2 {
            effects.push(peer_left(&sender.host, "announced that it is leaving"));
        }
        self.add_roster_peers(&heartbeat.roster, now);
    }

    /// Adds hosts from a peer's roster, so that this host contacts them too.
    fn add_roster_peers(&mut self, roster: &[MemberInfo], now: Timestamp) {
        let uptime = self.clock.uptime();
        let is_new = |info: &&MemberInfo| {
            info.host != self.config.local.host
                && info.failure_domain == self.config.local.failure_domain
                && !self.peers.contains_key(&info.host)
        };
        let new: Vec<MemberInfo> = roster.iter().filter(is_new).cloned().collect();
        for info in new {
            let peer = Peer::new(info.clone(), now, uptime);
            self.peers.insert(info.host, peer);
        }
    }

    fn receive_from_other_domain(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let sender = &heartbeat.sender;
        let (local, uptime) = (self.config.local.incarnation, self.clock.uptime());
        self.domains.record_contact(sender, now, uptime);
        let peer = self
            .remote_hosts
            .entry(sender.host.clone())
            .or_insert_with(|| Peer::new(sender.clone(), now, uptime));
        peer.update(heartbeat, local, now, uptime);
        let domains = self.domains.len();
        let interval = self.config.timing.domain_interval_for(domains);
        let delay = if self.config.local.failure_domain < sender.failure_domain {
            interval
        } else {
            interval + interval / 4
        };
        let contact = self.contacts.entry(sender.failure_domain.clone());
        *contact.or_default() = Contact {
            due: now + delay,
            ..Contact::default()
        };
    }

    fn apply_delta(
        &mut self,
        heartbeat: &Heartbeat,
        now: Timestamp,
        effects: &mut Vec<MemberEffect>,
    ) {
        let (host, delta) = (&heartbeat.sender.host, &heartbeat.delta);
        let is_peer = self.peers.contains_key(host);
        let known = if is_peer {
            self.peers.get_mut(host)
        } else {
            self.remote_hosts.get_mut(host)
        };
        let Some(peer) = known else { return };
        if delta.after > peer.received {
            // Changes are missing; the sender resends them once it sees what was acked.
            return;
        }
        if delta.through <= peer.received {
            // A delayed message; its items may have been replaced since.
            return;
        }
        peer.received = delta.through;
        if is_peer {
            for shared in &delta.reports {
                self.reports.insert_relayed(host, shared.clone());
            }
        }
        for summary in &delta.domains {
            self.apply_summary(summary, is_peer, now);
        }
        effects.extend(self.merge_crashes(&delta.crashes));
    }

    fn apply_summary(&mut self, summary: &super::DomainSummary, is_peer: bool, now: Timestamp) {
        if summary.failure_domain == self.config.local.failure_domain {
            return;
        }
        let is_newer = self.domains.update(summary, now, self.clock.uptime());
        if is_newer && !is_peer {
            // Received from another domain; this host shares it with the local domain.
            let key = SharedKey::Domain(summary.failure_domain.clone());
            self.log.put(key, SharedItem::Domain(summary.clone()));
        }
    }

    /// Merges what a peer knows about crashes, from a heartbeat or a separate call.
    /// Representatives forward the changes to other failure domains.
    pub fn merge_crashes(&mut self, digest: &CrashDigest) -> Option<MemberEffect> {
        let changes = self.crashes.merge(digest);
        if changes == CrashDigest::default() {
            return None;
        }
        let members = self.active_members();
        if duty::representatives(&members).contains(&&self.config.local.host) {
            put_crashes(&mut self.log, &changes);
        }
        Some(MemberEffect::CrashesLearned(changes))
    }
}

fn peer_joined(info: &MemberInfo, before: PeerState) -> MemberEffect {
    let reason = match before {
        PeerState::Unheard => "heard for the first time",
        PeerState::Alive => "answers as a new incarnation",
        PeerState::Suspected => "answers again",
    };
    let subject = EventSubject::host(&info.host);
    MemberEffect::Emit(EventDraft::new(EventKind::PeerJoined, subject, reason))
}

pub(super) fn peer_left(host: &HostId, reason: &str) -> MemberEffect {
    let subject = EventSubject::host(host);
    MemberEffect::Emit(EventDraft::new(EventKind::PeerLeft, subject, reason))
}
