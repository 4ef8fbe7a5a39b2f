//! Local view of a failure domain.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::collections::HashMap;
use crate::engine::{EngineReport, HostEntry, HostState};
use crate::group::missed_reports::MissedReports;
use crate::group::{
    Demand, Drains, GroupConfig, GroupState, LatestReports, MemberFault, Observation, ReplicaGroup,
};
use crate::id::{FailureDomainId, GroupId, HostId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Knowledge of one process about the hosts and records of its failure domain.
#[derive(Clone, Debug)]
pub struct DomainView {
    cfg: GroupConfig,
    failure_domain: FailureDomainId,
    demand: Option<Demand>,
    drains: Drains,
    hosts: Option<BTreeMap<HostId, HostEntry>>,
    reports: LatestReports,
    seen_by_peers: HashMap<HostId, Timestamp>,
    missed: HashMap<HostId, MissedReports>,
    last_advanced_at: Timestamp,
    observing_since: Timestamp,
}

impl DomainView {
    /// Creates an empty view.
    #[must_use]
    pub fn new(cfg: GroupConfig, failure_domain: FailureDomainId) -> Self {
        Self {
            cfg,
            failure_domain,
            demand: None,
            drains: Drains::default(),
            hosts: None,
            reports: LatestReports::default(),
            seen_by_peers: HashMap::default(),
            missed: HashMap::default(),
            last_advanced_at: Timestamp::default(),
            observing_since: Timestamp::default(),
        }
    }

    /// Returns the timeouts and limits.
    #[must_use]
    pub fn config(&self) -> &GroupConfig {
        &self.cfg
    }

    /// Returns the failure domain.
    #[must_use]
    pub fn failure_domain(&self) -> &FailureDomainId {
        &self.failure_domain
    }

    /// Returns the demand of the records in force, or `None` if they are not known yet.
    #[must_use]
    pub fn demand(&self) -> Option<&Demand> {
        self.demand.as_ref()
    }

    /// Returns the drained hosts and whether the failure domain is drained.
    #[must_use]
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Returns the platform's hosts in the failure domain, or `None` if they are not known yet.
    #[must_use]
    pub fn hosts(&self) -> Option<&BTreeMap<HostId, HostEntry>> {
        self.hosts.as_ref()
    }

    /// Returns the latest reports of the engines.
    #[must_use]
    pub fn reports(&self) -> &LatestReports {
        &self.reports
    }

    /// Advances the time and returns whether the process was paused since the last call.
    ///
    /// After a pause no host counts as silent until it has had time to report again.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        let paused = now.since(self.last_advanced_at) > self.cfg.pause_limit;
        if paused {
            self.observing_since = now;
        }
        self.last_advanced_at = self.last_advanced_at.max(now);
        paused
    }

    /// Stores a report and returns whether it is newer than the stored one.
    pub fn observe(&mut self, requested_at: Timestamp, report: &EngineReport) -> bool {
        self.reports.observe(requested_at, report)
    }

    /// Records that a peer received a report of a host `age` ago.
    pub fn record_seen_by_peer(&mut self, now: Timestamp, host: &HostId, age: Duration) {
        let seen_at = self.seen_by_peers.entry(host.clone()).or_default();
        *seen_at = (*seen_at).max(now - age);
    }

    /// Records that an engine did not answer a report request.
    pub fn record_missed_report(&mut self, now: Timestamp, host: &HostId) {
        let missed = self.missed.entry(host.clone()).or_default();
        missed.add(now, self.cfg.straggler_window);
    }

    /// Returns whether a host has recently left too many report requests unanswered.
    #[must_use]
    pub fn is_unreliable(&self, now: Timestamp, host: &HostId) -> bool {
        let window = self.cfg.straggler_window;
        let missed = self.missed.get(host);
        missed.is_some_and(|m| m.within(now, window) >= self.cfg.straggler_misses)
    }

    /// Sets the records in force.
    pub fn set_records(&mut self, models: &[ModelSpec], drained: &[DrainTarget]) {
        self.demand = Some(Demand::new(&self.failure_domain, models));
        self.drains = Drains::new(&self.failure_domain, drained);
    }

    /// Sets the platform's list of hosts.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) {
        let own = hosts
            .iter()
            .filter(|entry| entry.failure_domain == self.failure_domain)
            .map(|entry| (entry.host.clone(), entry.clone()))
            .collect();
        self.hosts = Some(own);
    }

    /// Returns the platform's entry of a host.
    #[must_use]
    pub fn entry(&self, host: &HostId) -> Option<&HostEntry> {
        self.hosts.as_ref()?.get(host)
    }

    /// Returns whether the engine of a host rejects old fencing numbers.
    #[must_use]
    pub fn checks_fencing(&self, host: &HostId) -> bool {
        self.entry(host).is_some_and(|entry| entry.checks_fencing)
    }

    /// Returns the last report of a host, unless it is too old.
    #[must_use]
    pub fn recent(&self, now: Timestamp, host: &HostId) -> Option<&Observation> {
        self.reports
            .get(host)
            .filter(|o| now.since(o.requested_at) <= self.cfg.report_max_age)
    }

    /// Returns whether a host is considered failed: neither this process nor the queried
    /// peers have received a report within the silence limit.
    #[must_use]
    pub fn is_failed(&self, now: Timestamp, host: &HostId) -> bool {
        let by_peers = self.seen_by_peers.get(host).copied().unwrap_or_default();
        let last_report_at = self.last_report_at(host).max(by_peers);
        now.since(last_report_at.max(self.observing_since)) > self.cfg.silence_limit
    }

    /// Returns whether a host reports to peers but not to this process.
    #[must_use]
    pub fn is_seen_only_by_peers(&self, now: Timestamp, host: &HostId) -> bool {
        let last_report_at = self.last_report_at(host).max(self.observing_since);
        let silent = now.since(last_report_at) > self.cfg.silence_limit;
        silent && !self.is_failed(now, host)
    }

    /// Returns whether a host has no recent report, so that peers should be queried about it.
    #[must_use]
    pub fn is_suspect(&self, now: Timestamp, host: &HostId) -> bool {
        self.recent(now, host).is_none()
    }

    /// Returns whether this process receives no reports from any host of the failure domain.
    #[must_use]
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let observed = now.since(self.observing_since) > self.cfg.silence_limit;
        let mut hosts = self.hosts.iter().flat_map(BTreeMap::keys);
        observed && !hosts.any(|host| self.recent(now, host).is_some())
    }

    /// Returns whether enough is known about the hosts to change groups: each has
    /// reported or has had time to, and at least one reports.
    #[must_use]
    pub fn can_plan(&self, now: Timestamp) -> bool {
        let observed = now.since(self.observing_since) > self.cfg.silence_limit;
        let mut hosts = self.hosts.iter().flat_map(BTreeMap::keys);
        let all_report = hosts.all(|host| self.recent(now, host).is_some());
        (observed || all_report) && !self.is_isolated(now)
    }

    /// Returns whether more hosts report only to peers than report to this process.
    #[must_use]
    pub fn peers_see_more_hosts(&self, now: Timestamp) -> bool {
        let hosts: Vec<&HostId> = self.hosts.iter().flat_map(BTreeMap::keys).collect();
        let seen_only_by_peers = hosts
            .iter()
            .filter(|host| self.is_seen_only_by_peers(now, host));
        let reporting = hosts.iter().filter(|host| self.recent(now, host).is_some());
        seen_only_by_peers.count() > reporting.count()
    }

    /// Returns whether a host is leaving or drained.
    #[must_use]
    pub fn is_leaving_service(&self, host: &HostId) -> bool {
        let listed = self
            .entry(host)
            .is_some_and(|e| e.state == HostState::Leaving);
        let reported = self.reports.get(host).is_some_and(|o| o.report.leaving);
        listed || reported || self.drains.hosts.contains(host)
    }

    /// Returns why the member at `rank` does not serve as the table requires.
    #[must_use]
    pub fn member_fault(
        &self,
        now: Timestamp,
        id: &GroupId,
        group: &ReplicaGroup,
        rank: usize,
    ) -> Option<MemberFault> {
        let host = &group.members[rank].host;
        if self.drains.hosts.contains(host) {
            return Some(MemberFault::Drained(host.clone()));
        }
        if self
            .entry(host)
            .is_some_and(|e| e.state == HostState::Leaving)
        {
            return Some(MemberFault::Leaving(host.clone()));
        }
        if self.reports.get(host).is_none() {
            return Some(MemberFault::NeverReported(host.clone()));
        }
        match self.recent(now, host) {
            None => Some(MemberFault::Silent(host.clone())),
            Some(o) => MemberFault::from_report(o, &group.assignment(id, rank)),
        }
    }

    /// Returns the first fault among the members of a group.
    #[must_use]
    pub fn group_fault(
        &self,
        now: Timestamp,
        id: &GroupId,
        group: &ReplicaGroup,
    ) -> Option<MemberFault> {
        (0..group.members.len()).find_map(|rank| self.member_fault(now, id, group, rank))
    }

    /// Returns whether a group accepts new requests.
    #[must_use]
    pub fn is_open(&self, now: Timestamp, id: &GroupId, group: &ReplicaGroup) -> bool {
        !self.drains.domain_drained
            && group.state != GroupState::Dissolving
            && self.group_fault(now, id, group).is_none()
    }

    fn last_report_at(&self, host: &HostId) -> Timestamp {
        let observation = self.reports.get(host);
        observation.map_or(Timestamp::default(), |o| o.requested_at)
    }
}
