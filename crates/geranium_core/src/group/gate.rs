//! Gate that decides which groups accept requests.

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

/// Decides on an entry host which groups accept requests.
///
/// A group is open only while every member has recently reported the group, fencing
/// number, model and rank given by the table, has loaded its weights and is not
/// leaving. An outdated table can only close gates, because the members of a group
/// that has changed since report a different fencing number.
#[derive(Clone, Debug)]
pub struct GroupGate {
    view: DomainView,
    table: Arc<GroupTable>,
    open: BTreeMap<GroupId, ServingGroup>,
    closed_reasons: BTreeMap<GroupId, String>,
}

impl GroupGate {
    /// Creates a gate without groups.
    #[must_use]
    pub fn new(cfg: GroupConfig, failure_domain: FailureDomainId) -> Self {
        Self {
            view: DomainView::new(cfg, failure_domain.clone()),
            table: Arc::new(GroupTable::new(failure_domain)),
            open: BTreeMap::new(),
            closed_reasons: BTreeMap::new(),
        }
    }

    /// Replaces the table if the given one is newer, and returns whether it did.
    ///
    /// # Errors
    ///
    /// Returns an error if the table violates an invariant; the current table is kept.
    pub fn set_table(&mut self, table: &GroupTable) -> Result<bool, GroupError> {
        if table.version() <= self.table.version() {
            return Ok(false);
        }
        table.check()?;
        self.table = Arc::new(table.clone());
        Ok(true)
    }

    /// Returns the current table.
    #[must_use]
    pub const fn table(&self) -> &Arc<GroupTable> {
        &self.table
    }

    /// Sets the records in force.
    pub fn set_records(&mut self, models: &[ModelSpec], drained: &[DrainTarget]) {
        self.view.set_records(models, drained);
    }

    /// Sets the platform's list of hosts.
    pub fn set_hosts(&mut self, hosts: &[HostEntry]) {
        self.view.set_hosts(hosts);
    }

    /// Stores a report and returns whether it is newer than the stored one.
    pub fn observe(&mut self, requested_at: Timestamp, report: &EngineReport) -> bool {
        self.view.observe(requested_at, report)
    }

    /// Returns whether a group accepts requests at `now`.
    ///
    /// The age of the reports is checked on each call, so a process that was paused
    /// finds its gates closed before it serves a request.
    #[must_use]
    pub fn is_open(&self, now: Timestamp, id: &GroupId) -> bool {
        let group = self.table.groups().get(id);
        group.is_some_and(|group| self.view.is_open(now, id, group))
    }

    /// Returns the time until which the currently open groups stay valid without new reports.
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

    /// Returns the groups that are open at `now` and appends an event for each change.
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

    /// Returns why a group was closed at the last evaluation.
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
                .map_or("the group was removed", String::as_str);
            events.push(self.event(EventKind::GateClosed, id, reason));
        }
        for (id, group) in open {
            match self.open.get(id).map(|before| before.temperature) {
                None => events.push(self.event(EventKind::GateOpened, id, "every member is ready")),
                Some(Temperature::Warm) if group.temperature == Temperature::Cold => {
                    events.push(self.event(EventKind::GroupCold, id, "a member is cold"));
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

    /// Hashes the fencing number of a group and the incarnations of its members, which
    /// change when a member restarts or is replaced.
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
