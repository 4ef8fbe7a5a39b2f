//! Fencing numbers seen outside the table, releases and orphaned hosts.

use super::Planner;
use crate::engine::EnginePhase;
use crate::event::EventKind;
use crate::group::{GroupError, GroupState, Observation};
use crate::id::{FencingNumber, GroupId, HostId};

/// Maximum distance of a reported fencing number above the table's next one; higher numbers
/// are ignored as implausible.
const MAX_FENCING_JUMP: u64 = 1 << 40;

/// Length of the range of fencing numbers that a new leader skips to.
const LEADER_FENCING_RANGE_LEN: u64 = 1 << 16;

/// Number of ranges among which new leaders choose by incarnation.
const LEADER_FENCING_RANGE_COUNT: u64 = 1 << 14;

impl Planner<'_> {
    /// Moves a new leader's fencing numbers to a range of its own.
    ///
    /// Otherwise, after the store was restored from an older copy, a process that does not
    /// know the lost writes would allocate the lost numbers again.
    pub(super) fn skip_earlier_fencing(&mut self) -> Result<(), GroupError> {
        let table = &self.table;
        if table.writer() == self.process || table.version().sequence == 0 {
            return Ok(());
        }
        let offset = (self.process.0 % LEADER_FENCING_RANGE_COUNT + 1) * LEADER_FENCING_RANGE_LEN;
        let from = table.next_fencing().0;
        self.table
            .raise_fencing_above(FencingNumber(from.saturating_add(offset)))
    }

    /// Raises the fencing numbers above those reported by engines and renews the numbers of
    /// orders that engines would refuse.
    ///
    /// Engines report higher numbers after the store was restored from an older copy.
    pub(super) fn catch_up_fencing(&mut self) -> Result<(), GroupError> {
        let hosts: Vec<HostId> = self.known_hosts();
        for host in &hosts {
            if let Some(o) = self.view.recent(self.now, host) {
                let seen = highest_seen(o);
                if seen.0 <= self.table.next_fencing().0.saturating_add(MAX_FENCING_JUMP) {
                    self.table.raise_fencing_above(seen)?;
                }
            }
        }
        let outdated: Vec<GroupId> = self
            .table
            .groups()
            .iter()
            .filter(|(_, group)| group.state != GroupState::Dissolving)
            .filter(|(_, group)| {
                group
                    .members
                    .iter()
                    .any(|member| self.would_refuse(&member.host, group.fencing))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &outdated {
            self.table.renew_fencing(id)?;
            self.push_event(
                EventKind::GroupRepaired,
                id,
                "a member has seen a higher fencing number",
            );
        }
        let releases = self.table.releasing().clone();
        for (host, fencing) in releases {
            if self.would_refuse(&host, fencing) {
                self.table.renew_release_fencing(&host)?;
            }
        }
        Ok(())
    }

    /// Marks hosts as free whose engines have acknowledged their release.
    pub(super) fn acknowledge_releases(&mut self) -> Result<(), GroupError> {
        let releases = self.table.releasing().clone();
        for (host, fencing) in releases {
            if self.is_released(&host, fencing) || self.is_gone(&host) {
                self.table.acknowledge_release(&host)?;
            }
        }
        let view = self.view;
        self.table.forget_hosts(|host| view.entry(host).is_some());
        Ok(())
    }

    /// Releases free hosts whose engines follow an order unknown to the table.
    pub(super) fn release_orphans(&mut self) -> Result<(), GroupError> {
        for host in self.known_hosts() {
            let assigned = self
                .view
                .recent(self.now, &host)
                .is_some_and(|o| o.report.assignment.is_some());
            if assigned && self.table.is_free(&host) {
                self.table.release_orphan(&host)?;
            }
        }
        Ok(())
    }

    fn known_hosts(&self) -> Vec<HostId> {
        let hosts = self.view.hosts().into_iter();
        hosts.flat_map(|hosts| hosts.keys().cloned()).collect()
    }

    fn would_refuse(&self, host: &HostId, fencing: FencingNumber) -> bool {
        self.view.checks_fencing(host)
            && self
                .view
                .recent(self.now, host)
                .map(highest_seen)
                .is_some_and(|seen| seen > fencing && seen < self.table.next_fencing())
    }

    fn is_released(&self, host: &HostId, fencing: FencingNumber) -> bool {
        let Some(o) = self.view.recent(self.now, host) else {
            return false;
        };
        let idle = o.report.assignment.is_none() && o.report.phase == EnginePhase::Idle;
        if !idle {
            return false;
        }
        if self.view.checks_fencing(host) {
            return o.report.fencing >= fencing;
        }
        // Orders in flight may still reach an engine that ignores fencing. The cooldown
        // lets most of them arrive before the host is used again.
        self.progress
            .release_accepted_at(host, fencing)
            .is_some_and(|at| {
                o.requested_at > at && self.now.since(at) >= self.view.config().unfenced_cooldown
            })
    }

    fn is_gone(&self, host: &HostId) -> bool {
        self.view.entry(host).is_none() && self.view.is_failed(self.now, host)
    }
}

fn highest_seen(o: &Observation) -> FencingNumber {
    let followed = o.report.assignment.as_ref().map(|a| a.fencing);
    o.report.fencing.max(followed.unwrap_or_default())
}
