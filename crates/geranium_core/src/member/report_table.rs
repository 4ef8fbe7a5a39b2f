//! Table of engine reports, polled by this host or relayed by peers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SharedReport;
use super::timing::MemberTiming;
use crate::engine::EngineReport;
use crate::id::HostId;
use crate::time::Timestamp;

/// Time window in which reports of different incarnations of an engine are treated
/// as a conflict.
const CONFLICT_WINDOW: Duration = Duration::from_secs(2);

/// Latest report of an engine and the time at which it last responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry<'a> {
    /// The report.
    pub report: &'a EngineReport,
    /// Latest time, on this host's clock, at which the engine is known to have
    /// responded.
    pub heard_at: Timestamp,
}

/// Table of engine reports, polled by this host or relayed by peers.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    local: BTreeMap<HostId, LocalReport>,
    /// Reports relayed by peers, by engine host and observer.
    relayed: BTreeMap<HostId, BTreeMap<HostId, SharedReport>>,
    /// Latest time at which each observer is known to have confirmed its reports.
    observers: BTreeMap<HostId, Timestamp>,
}

#[derive(Clone, Debug)]
struct LocalReport {
    report: EngineReport,
    heard_at: Timestamp,
    /// The report that was last shared with the peers, and when.
    shared: Option<(SharedReport, Timestamp)>,
}

impl ReportTable {
    /// Records a report that this host polled.
    pub(super) fn observe(&mut self, report: EngineReport, now: Timestamp) {
        let local = self
            .local
            .entry(report.host.clone())
            .or_insert(LocalReport {
                report: report.clone(),
                heard_at: now,
                shared: None,
            });
        local.report = report;
        local.heard_at = now;
    }

    /// Removes an engine that this host no longer polls; returns the report that
    /// informs the peers, if any was shared.
    pub(super) fn stop_observing(&mut self, server: &HostId) -> Option<SharedReport> {
        let local = self.local.remove(server)?;
        local.shared.map(|(shared, _)| SharedReport {
            silent: true,
            ..shared
        })
    }

    /// Returns the reports to share with the peers now, and whether any of them is a
    /// change of state, which is urgent.
    pub(super) fn take_due(
        &mut self,
        timing: &MemberTiming,
        now: Timestamp,
    ) -> (Vec<SharedReport>, bool) {
        let mut due = Vec::new();
        let mut urgent = false;
        for local in self.local.values_mut() {
            let next = SharedReport {
                report: local.report.clone(),
                silent: now.since(local.heard_at) > timing.report_silent_after,
            };
            match local.change_to(&next, timing, now) {
                Change::None => continue,
                Change::Load => {}
                Change::State => urgent = true,
            }
            local.shared = Some((next.clone(), now));
            due.push(next);
        }
        (due, urgent)
    }

    /// Stores a report that a peer relays.
    pub(super) fn insert_relayed(&mut self, observer: &HostId, shared: SharedReport) {
        let server = shared.report.host.clone();
        let by_observer = self.relayed.entry(server).or_default();
        by_observer.insert(observer.clone(), shared);
    }

    /// Records that an observer confirmed its reports at or after `confirmed_at`.
    pub(super) fn confirm_observer(&mut self, observer: &HostId, confirmed_at: Timestamp) {
        let at = self
            .observers
            .entry(observer.clone())
            .or_insert(confirmed_at);
        *at = confirmed_at.max(*at);
    }

    /// Removes all reports that an observer relayed.
    pub(super) fn forget_observer(&mut self, observer: &HostId) {
        self.observers.remove(observer);
        for by_observer in self.relayed.values_mut() {
            by_observer.remove(observer);
        }
        self.relayed
            .retain(|_, by_observer| !by_observer.is_empty());
    }

    /// Returns the latest report of an engine.
    ///
    /// Incarnations of an engine cannot be ordered here. While hosts with recent
    /// reports disagree on the incarnation, no report is returned. The observers
    /// poll again shortly, and those that still reach the engine then agree.
    #[must_use]
    pub fn get(&self, server: &HostId) -> Option<ReportEntry<'_>> {
        let confirmed = self.confirmed(server);
        let newest = confirmed.iter().max_by_key(|entry| entry.heard_at)?;
        let incarnation = newest.report.incarnation;
        let is_recent =
            |entry: &ReportEntry<'_>| entry.heard_at + CONFLICT_WINDOW >= newest.heard_at;
        let is_other_incarnation =
            |entry: &ReportEntry<'_>| entry.report.incarnation != incarnation;
        if confirmed
            .iter()
            .any(|e| is_recent(e) && is_other_incarnation(e))
        {
            return None;
        }
        let same_incarnation = confirmed.iter().filter(|e| !is_other_incarnation(e));
        let latest = same_incarnation.max_by_key(|entry| entry.report.sequence)?;
        Some(ReportEntry {
            report: latest.report,
            heard_at: newest.heard_at,
        })
    }

    /// Returns the report of each host that confirms an engine.
    fn confirmed(&self, server: &HostId) -> Vec<ReportEntry<'_>> {
        let local = self.local.get(server).map(|local| ReportEntry {
            report: &local.report,
            heard_at: local.heard_at,
        });
        let relayed = self.relayed.get(server).into_iter().flatten();
        let relayed = relayed.filter(|(_, shared)| !shared.silent);
        let relayed = relayed.filter_map(|(observer, shared)| {
            Some(ReportEntry {
                report: &shared.report,
                heard_at: *self.observers.get(observer)?,
            })
        });
        local.into_iter().chain(relayed).collect()
    }

    /// Returns the latest report of every engine, ordered by host.
    pub fn iter(&self) -> impl Iterator<Item = ReportEntry<'_>> {
        let relayed = self.relayed.keys().filter(|h| !self.local.contains_key(*h));
        let mut hosts: Vec<&HostId> = self.local.keys().chain(relayed).collect();
        hosts.sort();
        hosts.into_iter().filter_map(|host| self.get(host))
    }
}

/// Kind of difference between a report and the one last shared with the peers.
enum Change {
    None,
    Load,
    State,
}

impl LocalReport {
    fn change_to(&self, next: &SharedReport, timing: &MemberTiming, now: Timestamp) -> Change {
        let Some((shared, shared_at)) = &self.shared else {
            return Change::State;
        };
        if next.silent != shared.silent || is_other_state(&next.report, &shared.report) {
            return Change::State;
        }
        let is_due = now.since(*shared_at) >= timing.load_interval;
        if is_due && is_other_load(&next.report, &shared.report) {
            return Change::Load;
        }
        Change::None
    }
}

fn is_other_state(a: &EngineReport, b: &EngineReport) -> bool {
    a.incarnation != b.incarnation
        || a.fencing != b.fencing
        || a.assignment != b.assignment
        || a.phase != b.phase
        || a.leaving != b.leaving
}

fn is_other_load(a: &EngineReport, b: &EngineReport) -> bool {
    (a.running, a.waiting, a.kv_free_tokens) != (b.running, b.waiting, b.kv_free_tokens)
}
