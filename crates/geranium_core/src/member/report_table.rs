//! Reports of engines, polled by this host or passed on by peers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::SharedReport;
use super::timing::MemberTiming;
use crate::engine::EngineReport;
use crate::id::HostId;
use crate::time::Timestamp;

/// Time within which hosts that tell of different runs of an engine contradict
/// each other.
const CONFLICT_WINDOW: Duration = Duration::from_secs(2);

/// Newest report of an engine and when it is known to have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry<'a> {
    /// The report.
    pub report: &'a EngineReport,
    /// Latest time, on this host's clock, at which the engine is vouched for.
    pub heard_at: Timestamp,
}

/// Reports of engines, polled by this host or passed on by peers.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    local: BTreeMap<HostId, LocalReport>,
    /// Reports passed on, by engine host and observer.
    relayed: BTreeMap<HostId, BTreeMap<HostId, SharedReport>>,
    /// Latest time at which each observer is known to have vouched.
    observers: BTreeMap<HostId, Timestamp>,
}

#[derive(Clone, Debug)]
struct LocalReport {
    report: EngineReport,
    heard_at: Timestamp,
    /// What the peers were told last, and when.
    shared: Option<(SharedReport, Timestamp)>,
}

impl ReportTable {
    /// Takes in a report that this host polled.
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

    /// Stops to vouch for an engine that this host no longer polls.
    pub(super) fn stop_observing(&mut self, server: &HostId) -> Option<SharedReport> {
        let local = self.local.remove(server)?;
        local.shared.map(|(shared, _)| SharedReport {
            silent: true,
            ..shared
        })
    }

    /// Returns what peers are to be told now, and whether it is urgent.
    pub(super) fn due(
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

    /// Takes in a report that a peer passes on.
    pub(super) fn insert_relayed(&mut self, observer: &HostId, shared: SharedReport) {
        let server = shared.report.host.clone();
        let by_observer = self.relayed.entry(server).or_default();
        by_observer.insert(observer.clone(), shared);
    }

    /// Takes note that an observer vouched for its reports after a time.
    pub(super) fn confirm_observer(&mut self, observer: &HostId, confirmed_at: Timestamp) {
        let at = self
            .observers
            .entry(observer.clone())
            .or_insert(confirmed_at);
        *at = confirmed_at.max(*at);
    }

    /// Forgets what an observer passed on.
    pub(super) fn forget_observer(&mut self, observer: &HostId) {
        self.observers.remove(observer);
        for by_observer in self.relayed.values_mut() {
            by_observer.remove(observer);
        }
        self.relayed
            .retain(|_, by_observer| !by_observer.is_empty());
    }

    /// Returns the newest report of an engine.
    ///
    /// Runs of an engine have no order that is known here. While hosts that heard
    /// the engine lately tell of different runs, none is believed; each asks again
    /// within moments, and those that still reach the engine then agree.
    #[must_use]
    pub fn get(&self, server: &HostId) -> Option<ReportEntry<'_>> {
        let confirmed = self.confirmed(server);
        let newest = confirmed.iter().max_by_key(|entry| entry.heard_at)?;
        let run = newest.report.incarnation;
        let is_late = |entry: &ReportEntry<'_>| entry.heard_at + CONFLICT_WINDOW >= newest.heard_at;
        let is_other = |entry: &ReportEntry<'_>| entry.report.incarnation != run;
        if confirmed.iter().any(|e| is_late(e) && is_other(e)) {
            return None;
        }
        let same_run = confirmed.iter().filter(|e| !is_other(e));
        let latest = same_run.max_by_key(|entry| entry.report.sequence)?;
        Some(ReportEntry {
            report: latest.report,
            heard_at: newest.heard_at,
        })
    }

    /// Returns the report of each host that vouches for an engine.
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

    /// Returns the newest report of every engine, ordered by host.
    pub fn iter(&self) -> impl Iterator<Item = ReportEntry<'_>> {
        let relayed = self.relayed.keys().filter(|h| !self.local.contains_key(*h));
        let mut hosts: Vec<&HostId> = self.local.keys().chain(relayed).collect();
        hosts.sort();
        hosts.into_iter().filter_map(|host| self.get(host))
    }
}

/// How what peers should be told differs from what they were told.
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
