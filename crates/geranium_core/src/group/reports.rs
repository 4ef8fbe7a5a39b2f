//! Latest report of each engine.

use crate::collections::HashMap;
use crate::engine::EngineReport;
use crate::id::{HostId, Incarnation};
use crate::time::Timestamp;

/// Ended incarnations remembered for each host.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// Latest report of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub report: EngineReport,
    /// When this process asked for it.
    pub requested_at: Timestamp,
    ended: Vec<Incarnation>,
}

/// Latest reports of all engines that this process has heard of.
#[derive(Clone, Debug, Default)]
pub struct LatestReports {
    by_host: HashMap<HostId, Observation>,
}

impl LatestReports {
    /// Takes note of a report and returns whether it was news.
    ///
    /// `asked_at` is when this process asked for the report: an answer that
    /// waited while the process was paused is as old as its question.
    ///
    /// A report that arrives after a later one of the same incarnation, or after
    /// one of a newer incarnation, is ignored.
    pub fn observe(&mut self, asked_at: Timestamp, report: &EngineReport) -> bool {
        let Some(known) = self.by_host.get_mut(&report.host) else {
            self.by_host.insert(
                report.host.clone(),
                Observation {
                    report: report.clone(),
                    requested_at: asked_at,
                    ended: Vec::new(),
                },
            );
            return true;
        };
        if known.ended.contains(&report.incarnation) {
            return false;
        }
        if known.report.incarnation == report.incarnation {
            if report.sequence <= known.report.sequence {
                return false;
            }
        } else {
            known.ended.push(known.report.incarnation);
            if known.ended.len() > MAX_ENDED_INCARNATIONS {
                known.ended.remove(0);
            }
        }
        known.report.clone_from(report);
        known.requested_at = asked_at;
        true
    }

    /// Returns the latest report of a host, whatever its age.
    #[must_use]
    pub fn get(&self, host: &HostId) -> Option<&Observation> {
        self.by_host.get(host)
    }

    /// Drops the hosts that are not kept.
    pub fn retain(&mut self, mut keep: impl FnMut(&HostId) -> bool) {
        self.by_host.retain(|host, _| keep(host));
    }
}
