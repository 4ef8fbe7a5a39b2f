//! Reports of engines, polled by this host or passed on by peers.

use std::collections::BTreeMap;

use super::SharedReport;
use super::timing::MemberTiming;
use crate::engine::EngineReport;
use crate::id::HostId;
use crate::time::Timestamp;

/// Newest report of an engine and when it is known to have answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoardEntry<'a> {
    /// The report.
    pub report: &'a EngineReport,
    /// Latest time, on this host's clock, at which the engine is vouched for.
    pub heard_at: Timestamp,
}

/// Reports of engines, polled by this host or passed on by peers.
#[derive(Clone, Debug, Default)]
pub struct ReportBoard {
    own: BTreeMap<HostId, OwnReport>,
    /// Reports passed on, by engine host and observer.
    passed_on: BTreeMap<HostId, BTreeMap<HostId, SharedReport>>,
    /// Time at which each observer was last heard.
    observers: BTreeMap<HostId, Timestamp>,
}

#[derive(Clone, Debug)]
struct OwnReport {
    report: EngineReport,
    heard_at: Timestamp,
    /// What the peers were told last, and when.
    shared: Option<(SharedReport, Timestamp)>,
}

impl ReportBoard {
    /// Takes in a report that this host polled.
    pub(super) fn observe(&mut self, report: EngineReport, now: Timestamp) {
        let own = self.own.entry(report.host.clone()).or_insert(OwnReport {
            report: report.clone(),
            heard_at: now,
            shared: None,
        });
        own.report = report;
        own.heard_at = now;
    }

    /// Stops to vouch for an engine that this host no longer polls.
    pub(super) fn retire(&mut self, server: &HostId) -> Option<SharedReport> {
        let own = self.own.remove(server)?;
        own.shared.map(|(shared, _)| SharedReport {
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
        for own in self.own.values_mut() {
            let next = SharedReport {
                report: own.report.clone(),
                silent: now.since(own.heard_at) > timing.report_silent_after,
            };
            match own.change_to(&next, timing, now) {
                Change::None => continue,
                Change::Load => {}
                Change::State => urgent = true,
            }
            own.shared = Some((next.clone(), now));
            due.push(next);
        }
        (due, urgent)
    }

    /// Takes in a report that a peer passes on.
    pub(super) fn take_in(&mut self, observer: &HostId, shared: SharedReport) {
        let server = shared.report.host.clone();
        let by_observer = self.passed_on.entry(server).or_default();
        by_observer.insert(observer.clone(), shared);
    }

    /// Takes note that an observer was heard; it vouches for its reports again.
    pub(super) fn hear_observer(&mut self, observer: &HostId, now: Timestamp) {
        self.observers.insert(observer.clone(), now);
    }

    /// Forgets what an observer passed on.
    pub(super) fn forget_observer(&mut self, observer: &HostId) {
        self.observers.remove(observer);
        for by_observer in self.passed_on.values_mut() {
            by_observer.remove(observer);
        }
        self.passed_on
            .retain(|_, by_observer| !by_observer.is_empty());
    }

    /// Returns the newest report of an engine.
    ///
    /// Only observers that vouch for the newest run of the engine count towards
    /// the time at which it was heard.
    #[must_use]
    pub fn get(&self, server: &HostId) -> Option<BoardEntry<'_>> {
        let own = self.own.get(server).map(|o| (&o.report, o.heard_at));
        let passed_on = self.passed_on.get(server).into_iter().flatten();
        let vouched = passed_on.filter(|(_, shared)| !shared.silent);
        let vouched = vouched.filter_map(|(observer, shared)| {
            let heard_at = self.observers.get(observer)?;
            Some((&shared.report, *heard_at))
        });
        let known: Vec<_> = own.into_iter().chain(vouched).collect();
        let newest = known.iter().map(|(report, _)| *report);
        let report = newest.max_by_key(|r| (r.incarnation, r.sequence))?;
        let same_run = known
            .iter()
            .filter(|(r, _)| r.incarnation == report.incarnation);
        let heard_at = same_run.map(|(_, heard_at)| *heard_at).max()?;
        Some(BoardEntry { report, heard_at })
    }

    /// Returns the newest report of every engine, ordered by host.
    pub fn iter(&self) -> impl Iterator<Item = BoardEntry<'_>> {
        let passed_on = self.passed_on.keys().filter(|h| !self.own.contains_key(*h));
        let mut hosts: Vec<&HostId> = self.own.keys().chain(passed_on).collect();
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

impl OwnReport {
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
