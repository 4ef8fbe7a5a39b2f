//! Latest reports of the engines.

use crate::collections::HashMap;
use crate::engine::EngineReport;
use crate::id::{HostId, Incarnation};
use crate::time::Timestamp;

/// Maximum number of ended incarnations stored for each host.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// Latest report of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The report.
    pub report: EngineReport,
    /// When this process requested the report.
    pub requested_at: Timestamp,
    ended: Vec<Incarnation>,
}

/// Latest reports of all engines that have reported to this process.
#[derive(Clone, Debug, Default)]
pub struct LatestReports {
    by_host: HashMap<HostId, Observation>,
}

impl LatestReports {
    /// Stores a report and returns whether it is newer than the stored one.
    ///
    /// `requested_at` is when this process requested the report. The age of a report counts
    /// from its request, because the answer may have been delayed by a pause of this
    /// process.
    ///
    /// A report that arrives after a later one of the same incarnation, or after
    /// one of a newer incarnation, is ignored.
    pub fn observe(&mut self, requested_at: Timestamp, report: &EngineReport) -> bool {
        let Some(known) = self.by_host.get_mut(&report.host) else {
            self.by_host.insert(
                report.host.clone(),
                Observation {
                    report: report.clone(),
                    requested_at,
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
        known.requested_at = requested_at;
        true
    }

    /// Returns the latest report of a host, whatever its age.
    #[must_use]
    pub fn get(&self, host: &HostId) -> Option<&Observation> {
        self.by_host.get(host)
    }

    /// Drops the reports of hosts for which `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&HostId) -> bool) {
        self.by_host.retain(|host, _| keep(host));
    }
}
