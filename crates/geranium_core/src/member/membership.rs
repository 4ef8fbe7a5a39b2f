//! State of the entry host membership.

use std::collections::BTreeMap;
use std::time::Duration;

use super::contact::{Contact, Seed};
use super::crash_table::CrashTable;
use super::peer::{Peer, member_hash};
use super::shared::{SharedItem, SharedKey, SharedLog, put_crashes};
use super::uptime::UptimeClock;
use super::{
    ConfigStatus, DomainTable, GroupSummary, MemberConfig, MemberInfo, PeerState, ReportTable, duty,
};
use crate::engine::EngineReport;
use crate::id::{FailureDomainId, HostId, Incarnation};
use crate::limit::CrashDigest;
use crate::time::Timestamp;

/// Entry hosts known to this host, and the items that they share.
///
/// The driver calls [`tick`](Self::tick) about ten times a second, sends the
/// heartbeats that it returns, and passes answers and failures back. After a
/// heartbeat from a peer is processed, the driver replies to it with
/// [`answer`](Self::answer).
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MemberConfig,
    pub(super) clock: UptimeClock,
    /// Other hosts of the local failure domain.
    pub(super) peers: BTreeMap<HostId, Peer>,
    /// Hosts of other failure domains that sent a heartbeat to this host.
    pub(super) remote_hosts: BTreeMap<HostId, Peer>,
    /// Exchanges with other failure domains.
    pub(super) contacts: BTreeMap<FailureDomainId, Contact>,
    pub(super) seeds: Vec<Seed>,
    pub(super) reports: ReportTable,
    pub(super) domains: DomainTable,
    pub(super) crashes: CrashTable,
    pub(super) log: SharedLog,
    pub(super) status: ConfigStatus,
    pub(super) groups: Vec<GroupSummary>,
    /// Whether the first [`MemberEffect::MembersChanged`](super::MemberEffect) was
    /// returned, on which the driver assigns duties for the first time.
    pub(super) is_started: bool,
}

impl Membership {
    /// Creates a membership that knows only the seeds.
    #[must_use]
    pub fn new(config: MemberConfig, now: Timestamp) -> Self {
        let interval = config.timing.seed_interval;
        let seeds = config.seeds.iter().map(|a| Seed::new(*a, now, interval));
        Self {
            clock: UptimeClock::new(now, config.timing.pause_threshold),
            seeds: seeds.collect(),
            config,
            peers: BTreeMap::new(),
            remote_hosts: BTreeMap::new(),
            contacts: BTreeMap::new(),
            reports: ReportTable::default(),
            domains: DomainTable::default(),
            crashes: CrashTable::default(),
            log: SharedLog::default(),
            status: ConfigStatus::default(),
            groups: Vec::new(),
            is_started: false,
        }
    }

    /// Returns the identity and addresses of this host.
    #[must_use]
    pub const fn local(&self) -> &MemberInfo {
        &self.config.local
    }

    /// Returns the configuration that this host reports to have in force.
    #[must_use]
    pub const fn config_status(&self) -> ConfigStatus {
        self.status
    }

    /// Sets the configuration that this host reports to have in force.
    pub fn set_config_status(&mut self, status: ConfigStatus) {
        self.status = status;
    }

    /// Sets the serving groups that are reported to other failure domains.
    pub fn set_groups(&mut self, groups: Vec<GroupSummary>) {
        self.groups = groups;
    }

    /// Returns the other hosts of the local failure domain, ordered by name.
    pub fn peers(&self) -> impl Iterator<Item = (&MemberInfo, PeerState, ConfigStatus)> {
        self.peers.values().map(|p| (&p.info, p.state, p.config))
    }

    /// Returns when a peer of the local failure domain was last heard from.
    #[must_use]
    pub fn heard_at(&self, host: &HostId) -> Option<Timestamp> {
        self.peers.get(host).map(|peer| peer.heard_at)
    }

    /// Returns the hosts of the local failure domain that can be assigned duties,
    /// ordered by name, including this host unless it is leaving.
    #[must_use]
    pub fn active_members(&self) -> Vec<HostId> {
        let active = self.peers.values().filter(|p| p.is_active());
        let mut members: Vec<HostId> = active.map(|p| p.info.host.clone()).collect();
        if !self.config.local.leaving {
            members.push(self.config.local.host.clone());
        }
        members.sort();
        members
    }

    /// Returns the live peers of the local failure domain.
    pub fn live_peers(&self) -> impl Iterator<Item = &MemberInfo> {
        let alive = self.peers.values().filter(|p| p.state == PeerState::Alive);
        alive.map(|p| &p.info)
    }

    /// Returns whether this host watches the platform's store.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        let members = self.active_members();
        duty::watchers(&members).contains(&&self.config.local.host)
    }

    /// Returns whether this host polls a backend server host of its failure domain.
    #[must_use]
    pub fn observes(&self, server: &HostId) -> bool {
        let members = self.active_members();
        duty::observers(&members, server).contains(&&self.config.local.host)
    }

    /// Returns the reports of engines, polled by this host or relayed by peers.
    #[must_use]
    pub const fn reports(&self) -> &ReportTable {
        &self.reports
    }

    /// Returns the summaries of other failure domains.
    #[must_use]
    pub const fn domains(&self) -> &DomainTable {
        &self.domains
    }

    /// Records a report that this host polled from an engine.
    pub fn observe(&mut self, report: EngineReport, now: Timestamp) {
        self.reports.observe(report, now);
    }

    /// Stops confirming an engine that this host no longer polls.
    pub fn stop_observing(&mut self, server: &HostId) {
        if let Some(shared) = self.reports.stop_observing(server) {
            let key = SharedKey::Report(server.clone());
            self.log.put(key, SharedItem::Report(shared));
        }
    }

    /// Shares what this host learned about requests that crash backend servers.
    pub fn share_crashes(&mut self, digest: &CrashDigest, now: Timestamp) {
        let changes = self.crashes.merge(digest);
        put_crashes(&mut self.log, &changes);
        self.make_heartbeats_due(now);
    }

    /// Returns whether an incarnation of an entry host was recently reported live, in
    /// any failure domain. It may have ended since.
    #[must_use]
    pub fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let local = &self.config.local;
        if *host == local.host {
            return incarnation == local.incarnation;
        }
        if let Some(peer) = self.peers.get(host) {
            return peer.state == PeerState::Alive && peer.info.incarnation == incarnation;
        }
        let is_match = |info: &MemberInfo| info.host == *host && info.incarnation == incarnation;
        let mut domains = self.domains.iter();
        domains.any(|(summary, _)| {
            !self.domains.is_silent(&summary.failure_domain)
                && summary.members.iter().any(|m| is_match(&m.info))
        })
    }

    /// Begins to leave: gives up all duties and informs the peers immediately.
    pub fn begin_leaving(&mut self, now: Timestamp) {
        self.config.local.leaving = true;
        self.make_heartbeats_due(now);
    }

    /// Makes a heartbeat to every peer of the domain due now.
    pub(super) fn make_heartbeats_due(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            peer.due = peer.due.min(now);
        }
    }

    /// Returns the time between heartbeats with each peer of the domain.
    pub(super) fn interval(&self) -> Duration {
        self.config.timing.heartbeat_interval_for(self.peers.len())
    }

    /// Returns the digest of the live hosts of the local failure domain.
    pub(super) fn roster_digest(&self) -> u64 {
        let alive = self.peers.values().filter(|p| p.state == PeerState::Alive);
        let local = member_hash(&self.config.local);
        alive.fold(local, |sum, peer| sum ^ peer.member_hash)
    }
}
