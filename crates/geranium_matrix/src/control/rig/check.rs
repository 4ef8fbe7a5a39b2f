//! Comparison of what gates say with what engines do.

use std::collections::BTreeSet;

use geranium_core::group::OutagePolicy;
use geranium_core::id::{GroupId, HostId};

use super::{QUANTUM, Rig};
use crate::control::fleet::ACCELERATORS_PER_HOST;

impl<P: OutagePolicy + Clone> Rig<P> {
    /// Compares what gates say with what engines do, before anything is delivered.
    pub(super) fn check_gates(&mut self) {
        let mut open: Vec<(GroupId, Vec<HostId>)> = Vec::new();
        for position in 0..self.entries.len() {
            if self.entries[position].is_up(self.now) {
                self.check_gate(position, &mut open);
            }
        }
        self.oracle.check_shared(self.now, &open);
        self.measure(&open);
    }

    fn check_gate(&mut self, position: usize, open: &mut Vec<(GroupId, Vec<HostId>)>) {
        let gate = self.entries[position].gate();
        for (id, group) in gate.table().groups() {
            let members: Vec<HostId> = group.members.iter().map(|m| m.host.clone()).collect();
            let mut missing = None;
            for (rank, host) in members.iter().enumerate() {
                let engine = self.engines.iter().find(|e| &e.entry.host == host);
                let expected = group.assignment(id, rank);
                let serves = engine.is_some_and(|e| e.serves(self.now, &expected));
                let key = (id, group.fencing);
                if self.oracle.note_member(self.now, key, host, serves) {
                    missing = Some(host.clone());
                }
            }
            if gate.is_open(self.now, id) {
                self.oracle.check_open(self.now, id, &members, missing);
                open.push((id.clone(), members));
            }
        }
    }

    fn measure(&mut self, open: &[(GroupId, Vec<HostId>)]) {
        let groups: BTreeSet<&GroupId> = open.iter().map(|(id, _)| id).collect();
        let hosts: BTreeSet<&HostId> = open.iter().flat_map(|(_, members)| members).collect();
        let missing = self.wanted.saturating_sub(groups.len());
        self.measures.group_downtime += QUANTUM * u32::try_from(missing).unwrap_or(0);
        for engine in &self.engines {
            let idle = engine.is_up(self.now) && !hosts.contains(&engine.entry.host);
            let stranded = idle && (missing > 0 || engine.assignment().is_some());
            if stranded {
                let millis = u64::from(ACCELERATORS_PER_HOST) * 10;
                self.measures.stranded_millis += millis;
            }
        }
        if let Some(watched) = &self.watched
            && !groups.contains(&watched.group)
        {
            let after = self.now.since(watched.lost_at);
            self.measures.gate_closed_after.get_or_insert(after);
        }
    }
}
