//! Periodic work and outgoing heartbeats.

use std::net::SocketAddr;
use std::time::Duration;

use super::contact::Seed;
use super::incoming::peer_left;
use super::peer::Peer;
use super::shared::{Recipient, SharedItem, SharedKey, delta};
use super::{Heartbeat, MemberEffect, MemberInfo, Membership, PeerState, SharedDelta, duty};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::id::{FailureDomainId, HostId, Incarnation};
use crate::time::{HybridTime, Timestamp};

/// Time after which a heartbeat without an answer or failure no longer blocks the
/// next one.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without news after which a domain counts as silent. The other
/// representatives then contact it too, and every host tries its seed.
const DOMAIN_SILENCE: Duration = Duration::from_secs(30);

/// Time for which crash information is kept.
const CRASH_RETENTION: Duration = Duration::from_hours(1);

/// Factor by which the heartbeat interval grows for a peer that does not answer.
const SUSPECTED_SLOWDOWN: u32 = 4;

impl Membership {
    /// Performs periodic work: detects silent peers and returns the heartbeats that
    /// are due.
    ///
    /// `time` is the hybrid logical time that the heartbeats carry.
    pub fn tick(&mut self, now: Timestamp, time: HybridTime) -> Vec<MemberEffect> {
        let mut effects = self.advance(now);
        if !std::mem::replace(&mut self.is_started, true) {
            effects.push(MemberEffect::MembersChanged);
        }
        self.suspect_silent_peers(now, &mut effects);
        self.update_domain_silence(&mut effects);
        self.remove_expired(now, &mut effects);
        self.share_reports(now);
        let mut targets = self.due_peers(now);
        targets.extend(self.due_domains(now));
        targets.extend(self.due_seeds(now));
        for (to, receiver) in targets {
            let heartbeat = Box::new(self.heartbeat(receiver.as_ref(), now, time));
            effects.push(MemberEffect::SendHeartbeat { to, heartbeat });
        }
        effects
    }

    /// Returns the answer to a heartbeat that was processed.
    pub fn answer(&mut self, caller: &MemberInfo, now: Timestamp, time: HybridTime) -> Heartbeat {
        self.share_reports(now);
        let receiver = (caller.host.clone(), caller.failure_domain.clone());
        self.heartbeat(Some(&receiver), now, time)
    }

    /// Advances the uptime clock and reports a pause of this process.
    pub(super) fn advance(&mut self, now: Timestamp) -> Vec<MemberEffect> {
        let Some(pause) = self.clock.advance(now) else {
            return Vec::new();
        };
        let subject = EventSubject::host(&self.config.local.host);
        let reason = format!("process did not run for {} ms", pause.as_millis());
        let event = EventDraft::new(EventKind::ProcessPaused, subject, reason);
        vec![MemberEffect::Paused(pause), MemberEffect::Emit(event)]
    }

    fn suspect_silent_peers(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        let limit = self.config.timing.suspect_after_for(self.peers.len());
        let uptime = self.clock.uptime();
        for peer in self.peers.values_mut() {
            let silence = uptime.saturating_sub(peer.heard_uptime);
            if peer.state != PeerState::Alive || silence <= limit {
                continue;
            }
            if peer.is_active() {
                effects.push(MemberEffect::MembersChanged);
            }
            peer.state = PeerState::Suspected;
            let reason = format!("silent for {} ms", now.since(peer.heard_at).as_millis());
            let subject = EventSubject::host(&peer.info.host);
            let event = EventDraft::new(EventKind::PeerSuspected, subject, reason);
            effects.push(MemberEffect::Emit(event));
        }
    }

    fn update_domain_silence(&mut self, effects: &mut Vec<MemberEffect>) {
        let uptime = self.clock.uptime();
        let changed = self.domains.update_silence(uptime, DOMAIN_SILENCE);
        for (domain, is_silent) in changed {
            let (kind, reason) = if is_silent {
                (
                    EventKind::DomainSilent,
                    "no recent message from any of its hosts",
                )
            } else {
                (
                    EventKind::DomainHeard,
                    "one of its hosts was heard from again",
                )
            };
            let subject = EventSubject::failure_domain(&domain);
            effects.push(MemberEffect::Emit(EventDraft::new(kind, subject, reason)));
        }
    }

    fn remove_expired(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        let limit = self.config.timing.forget_after;
        let uptime = self.clock.uptime();
        let is_old = |p: &Peer| uptime.saturating_sub(p.heard_uptime) > limit;
        let old: Vec<HostId> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_old(peer))
            .map(|(host, _)| host.clone())
            .collect();
        for host in old {
            let peer = self.peers.remove(&host);
            self.reports.forget_observer(&host);
            if peer.is_some_and(|peer| peer.state == PeerState::Suspected) {
                effects.push(peer_left(&host, "removed after a long silence"));
            }
        }
        self.remote_hosts.retain(|_, peer| !is_old(peer));
        let oldest = now - CRASH_RETENTION;
        self.crashes.forget_before(oldest);
        self.log.retain(|_, item| match item {
            SharedItem::Suspicion(entry) => entry.changed_at >= oldest,
            SharedItem::Explained(explained) => explained.at >= oldest,
            _ => true,
        });
    }

    /// Logs the reports to share with peers; changes of state are sent immediately.
    fn share_reports(&mut self, now: Timestamp) {
        let (reports, is_urgent) = self.reports.take_due(&self.config.timing, now);
        for shared in reports {
            let key = SharedKey::Report(shared.report.host.clone());
            self.log.put(key, SharedItem::Report(shared));
        }
        if is_urgent {
            self.make_heartbeats_due(now);
        }
    }

    fn due_peers(&mut self, now: Timestamp) -> Vec<(SocketAddr, Option<Receiver>)> {
        let interval = self.interval();
        let mut due = Vec::new();
        for peer in self.peers.values_mut() {
            let waits = peer
                .in_flight
                .is_some_and(|since| now.since(since) < IN_FLIGHT_TIMEOUT);
            if waits || peer.due > now {
                continue;
            }
            peer.in_flight = Some(now);
            peer.due = match peer.state {
                PeerState::Alive => now + interval,
                _ => now + interval * SUSPECTED_SLOWDOWN,
            };
            let receiver = (peer.info.host.clone(), peer.info.failure_domain.clone());
            due.push((peer.info.peer_address, Some(receiver)));
        }
        due
    }

    /// Returns one host of each other domain with which an exchange is due.
    fn due_domains(&mut self, now: Timestamp) -> Vec<(SocketAddr, Option<Receiver>)> {
        let members = self.active_members();
        let position = duty::representatives(&members)
            .iter()
            .position(|host| **host == self.config.local.host);
        let Some(position) = position else {
            return Vec::new();
        };
        let interval = self.config.timing.domain_interval_for(self.domains.len());
        let mut due = Vec::new();
        for (summary, heard_at) in self.domains.iter() {
            if position > 0 && now.since(heard_at) < DOMAIN_SILENCE {
                continue;
            }
            let contact = self.contacts.entry(summary.failure_domain.clone());
            let contact = contact.or_default();
            if contact.due > now || summary.members.is_empty() {
                continue;
            }
            let target = &summary.members[contact.attempts % summary.members.len()].info;
            contact.due = now + interval;
            contact.pending = Some(target.peer_address);
            let receiver = (target.host.clone(), target.failure_domain.clone());
            due.push((target.peer_address, Some(receiver)));
        }
        due
    }

    fn due_seeds(&mut self, now: Timestamp) -> Vec<(SocketAddr, Option<Receiver>)> {
        let mut seeds = std::mem::take(&mut self.seeds);
        let mut due = Vec::new();
        for seed in &mut seeds {
            if seed.due <= now && self.needs_seed(seed, now) {
                seed.record_attempt(now);
                due.push((seed.address, None));
            }
        }
        self.seeds = seeds;
        due
    }

    /// Returns whether a seed must be contacted: its failure domain is unknown or no
    /// longer heard from.
    fn needs_seed(&self, seed: &Seed, now: Timestamp) -> bool {
        let Some(domain) = &seed.domain else {
            return true;
        };
        if seed.is_self {
            return false;
        }
        if *domain == self.config.local.failure_domain {
            return self.live_peers().next().is_none();
        }
        let heard = self.domains.get(domain);
        heard.is_none_or(|(_, heard_at)| now.since(heard_at) >= DOMAIN_SILENCE)
    }

    /// Builds a heartbeat; `receiver` is `None` if only its address is known.
    fn heartbeat(
        &mut self,
        receiver: Option<&Receiver>,
        now: Timestamp,
        time: HybridTime,
    ) -> Heartbeat {
        let local_domain = self.config.local.failure_domain.clone();
        let recipient = match receiver {
            Some((_, domain)) if *domain == local_domain => Recipient::LocalDomain,
            _ => Recipient::OtherDomain,
        };
        if recipient == Recipient::OtherDomain {
            self.renew_summary(now);
        }
        let known = receiver.and_then(|(host, _)| self.known(host));
        let roster_digest = self.roster_digest();
        let lacks_roster = known.is_none_or(|peer| peer.roster_digest != roster_digest);
        let acked = known.map_or(0, |peer| peer.acked);
        Heartbeat {
            sender: self.config.local.clone(),
            time,
            sent_at: now,
            echo: known.map_or(Timestamp::default(), |peer| peer.sent_at),
            config: self.status,
            roster_digest,
            roster: if recipient == Recipient::LocalDomain && lacks_roster {
                self.roster()
            } else {
                Vec::new()
            },
            acked_incarnation: known.map_or(Incarnation::default(), |p| p.info.incarnation),
            acked: known.map_or(0, |peer| peer.received),
            // Which items may be sent depends on the receiver's failure domain.
            delta: match receiver {
                Some(_) => delta(&self.log, acked, recipient, &local_domain),
                None => SharedDelta::default(),
            },
        }
    }

    fn known(&self, host: &HostId) -> Option<&Peer> {
        self.peers.get(host).or_else(|| self.remote_hosts.get(host))
    }

    fn roster(&self) -> Vec<MemberInfo> {
        let local = [&self.config.local].into_iter();
        local.chain(self.live_peers()).cloned().collect()
    }
}

/// Name and failure domain of the host that receives a heartbeat.
type Receiver = (HostId, FailureDomainId);
