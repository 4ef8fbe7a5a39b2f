//! Which groups take requests.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::Arc;

use crate::engine::{EnginePhase, EngineReport, HostEntry};
use crate::event::{EventDraft, EventKind, EventSubject};
use crate::group::{
    DomainView, GroupConfig, GroupError, GroupState, GroupTable, ReplicaGroup, ServingGroup,
    Temperature,
};
use crate::id::{FailureDomainId, GroupId};
use crate::record::{DrainTarget, ModelSpec};
use crate::time::Timestamp;

/// Decides on every entry host which groups take requests.
///
/// A group is open only while each member has lately reported the group, the
/// fencing number, the model and the rank that the table gives, is loaded and
/// does not leave. A table that is out of date can only close gates: members of
/// a group that has changed since report other numbers.
#[derive(Clone, Debug)]
pub struct GroupGate {
    view: DomainView,
    table: Arc<GroupTable>,
    open: BTreeMap<GroupId, ServingGroup>,
    closed_reasons: BTreeMap<GroupId, String>,
}

impl GroupGate {
    /// Makes a gate without groups.
    #[must_use]
    pub fn new(cfg: GroupConfig, failure_domain: FailureDomainId) -> Self {
        Self {
            view: DomainView::new(cfg, failure_domain.clone()),
            table: Arc::new(GroupTable::new(failure_domain)),
            open: BTreeMap::new(),
            closed_reasons: BTreeMap::new(),
        }
    }

    /// Takes a table unless a later one is known, and returns whether it was taken.
    ///
    /// # Errors
    ///
    /// Returns an error if the table breaks a rule; the one known stays.
    pub fn set_table(&mut self, table: &GroupTable) -> Result<bool, GroupError> {
        if table.version() <= self.table.version() {
            return Ok(false);
        }
        table.check()?;
        self.table = Arc::new(table.clone());
        Ok(true)
    }

    /// Returns the table in use.
    #[must_use]
    pub const fn table(&self) -> &Arc<GroupTable> {
        &self.table
    }

    /// Takes note of the records in force.
    pub fn set_records(&mut self, models: &[ModelSpec], drained: &[DrainTarget]) {
        self.view.set_records(models, drained);
    }

    /// Takes note of the platform's list of hosts.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) {
        self.view.set_hosts(hosts);
    }

    /// Takes note of a report that was asked for at a time, and returns whether it was news.
    pub fn observe(&mut self, asked_at: Timestamp, report: &EngineReport) -> bool {
        self.view.observe(asked_at, report)
    }

    /// Returns whether a group takes requests at this very moment.
    ///
    /// It reads the age of the reports anew, so that a process that was paused
    /// finds its gates closed before it serves anything.
    #[must_use]
    pub fn is_open(&self, now: Timestamp, id: &GroupId) -> bool {
        let group = self.table.groups().get(id);
        group.is_some_and(|group| self.view.is_open(now, id, group))
    }

    /// Returns until when the present open groups may be relied on without new reports.
    #[must_use]
    pub fn valid_until(&self) -> Option<Timestamp> {
        let max_age = self.view.config().report_max_age;
        self.open
            .keys()
            .filter_map(|id| self.table.groups().get(id))
            .flat_map(|group| &group.members)
            .filter_map(|member| self.view.reports().get(&member.host))
            .map(|o| o.requested_at + max_age)
            .min()
    }

    /// Returns the groups that are open now and appends the changes as events.
    pub fn evaluate(&mut self, now: Timestamp, events: &mut Vec<EventDraft>) -> Vec<ServingGroup> {
        let mut open = BTreeMap::new();
        for (id, group) in self.table.groups() {
            match self.find_closed_reason(now, id, group) {
                None => {
                    open.insert(id.clone(), self.serving(id, group));
                    self.closed_reasons.remove(id);
                }
                Some(reason) => {
                    self.closed_reasons.insert(id.clone(), reason);
                }
            }
        }
        self.emit_gate_events(&open, events);
        self.closed_reasons
            .retain(|id, _| self.table.groups().contains_key(id));
        self.open = open;
        self.open.values().cloned().collect()
    }

    /// Returns why a group is closed, as of the last evaluation.
    #[must_use]
    pub fn closed_reason(&self, id: &GroupId) -> Option<&str> {
        self.closed_reasons.get(id).map(String::as_str)
    }

    fn find_closed_reason(
        &self,
        now: Timestamp,
        id: &GroupId,
        group: &ReplicaGroup,
    ) -> Option<String> {
        if self.view.drains().domain_drained {
            return Some("the failure domain is out of service".to_owned());
        }
        if group.state == GroupState::Dissolving {
            return Some("the group is dissolving".to_owned());
        }
        let fault = self.view.group_fault(now, id, group)?;
        Some(fault.to_string())
    }

    fn emit_gate_events(
        &self,
        open: &BTreeMap<GroupId, ServingGroup>,
        events: &mut Vec<EventDraft>,
    ) {
        for id in self.open.keys().filter(|id| !open.contains_key(*id)) {
            let reason = self
                .closed_reasons
                .get(id)
                .map_or("the group ended", String::as_str);
            events.push(self.event(EventKind::GateClosed, id, reason));
        }
        for (id, group) in open {
            match self.open.get(id).map(|before| before.temperature) {
                None => events.push(self.event(EventKind::GateOpened, id, "every member is ready")),
                Some(Temperature::Warm) if group.temperature == Temperature::Cold => {
                    events.push(self.event(EventKind::GroupCold, id, "a member turned cold"));
                }
                Some(Temperature::Cold) if group.temperature == Temperature::Warm => {
                    events.push(self.event(EventKind::GroupWarm, id, "every member is warm"));
                }
                Some(_) => {}
            }
        }
    }

    fn event(&self, kind: EventKind, id: &GroupId, reason: &str) -> EventDraft {
        let mut subject = EventSubject::group(id);
        subject.failure_domain = Some(self.view.failure_domain().clone());
        subject.record = self.table.groups().get(id).map(|g| g.record.clone());
        EventDraft::new(kind, subject, reason)
    }

    fn serving(&self, id: &GroupId, group: &ReplicaGroup) -> ServingGroup {
        let head = &group.members[0];
        let report = self.view.reports().get(&head.host).map(|o| &o.report);
        ServingGroup {
            group: id.clone(),
            record: group.record.clone(),
            served_model: group.served_model.clone(),
            failure_domain: self.view.failure_domain().clone(),
            fabric_domain: group.fabric_domain.clone(),
            head: head.host.clone(),
            address: head.address,
            fencing: group.fencing,
            generation: self.generation(group),
            temperature: self.temperature(group),
            running: report.map_or(0, |r| r.running),
            waiting: report.map_or(0, |r| r.waiting),
            kv_free_tokens: report.map_or(0, |r| r.kv_free_tokens),
            cold_concurrency: group.cold_concurrency,
            warm_concurrency: group.warm_concurrency,
        }
    }

    fn temperature(&self, group: &ReplicaGroup) -> Temperature {
        let is_warm = |host| {
            let observation = self.view.reports().get(host);
            observation.is_some_and(|o| o.report.phase == EnginePhase::Warm)
        };
        if group.members.iter().all(|member| is_warm(&member.host)) {
            Temperature::Warm
        } else {
            Temperature::Cold
        }
    }

    /// Hashes what makes a group start anew: its number and its members' incarnations.
    fn generation(&self, group: &ReplicaGroup) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        hasher.write_u64(group.fencing.0);
        for member in &group.members {
            let observation = self.view.reports().get(&member.host);
            hasher.write_u64(observation.map_or(0, |o| o.report.incarnation.0));
        }
        hasher.finish()
    }
}
