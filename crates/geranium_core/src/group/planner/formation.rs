//! Formation of new groups.

use super::Planner;
use crate::event::EventKind;
use crate::group::{Demand, GroupError, GroupState, placement};
use crate::id::{FabricDomainId, GroupId, HostId, RecordName};
use crate::record::ModelSpec;

impl Planner<'_> {
    /// Forms missing groups as long as there are enough hosts.
    pub(super) fn form_groups(&mut self) -> Result<(), GroupError> {
        loop {
            let missing = self.under_replicated_records();
            let mut formed = false;
            for (_, spec) in &missing {
                if self.form(spec)? {
                    formed = true;
                    break;
                }
            }
            if !formed {
                return Ok(());
            }
        }
    }

    /// Dissolves an outdated group if the group for the changed record cannot be formed without
    /// its hosts.
    pub(super) fn free_hosts_for_changed_records(&mut self) -> Result<(), GroupError> {
        let hosts_being_released = !self.table.releasing().is_empty()
            || self
                .table
                .groups()
                .values()
                .any(|group| group.state == GroupState::Dissolving);
        if hosts_being_released {
            return Ok(());
        }
        for (_, spec) in self.under_replicated_records() {
            let forming = self
                .groups_of(&spec.name, true)
                .iter()
                .any(|id| !self.is_open(id));
            if forming {
                continue;
            }
            if let Some(id) = self.outdated_group_to_dissolve(&spec) {
                self.dissolve(&id, "its hosts are needed for the changed record")?;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns the records that lack groups with their number of current groups, fewest first.
    fn under_replicated_records(&self) -> Vec<(usize, ModelSpec)> {
        let mut missing: Vec<(usize, ModelSpec)> = Vec::new();
        for desired in self.view.demand().into_iter().flat_map(Demand::iter) {
            let present = self.groups_of(&desired.spec.name, true).len();
            if present < desired.replicas {
                missing.push((present, desired.spec.clone()));
            }
        }
        missing.sort_by_key(|(present, spec)| {
            let size = std::cmp::Reverse(spec.hosts_per_replica);
            (*present, size, spec.name.clone())
        });
        missing
    }

    fn form(&mut self, spec: &ModelSpec) -> Result<bool, GroupError> {
        let size = spec.hosts_per_replica as usize;
        let Some((fabric_domain, members)) =
            placement::place_group(self.now, self.view, &self.table, size)
        else {
            return Ok(false);
        };
        let id = self.table.form(spec, &fabric_domain, members)?;
        let reason = format!("record {} lacks a replica", spec.name);
        self.push_event(EventKind::GroupFormed, &id, reason);
        Ok(true)
    }

    fn outdated_group_to_dissolve(&self, spec: &ModelSpec) -> Option<GroupId> {
        let outdated = self.groups_of(&spec.name, false);
        let mut least_valuable_first = outdated.iter().rev();
        let makes_room = |id: &&GroupId| {
            let fabric_domain = &self.table.groups()[*id].fabric_domain;
            self.hosts_after_dissolving(&spec.name, fabric_domain) >= spec.hosts_per_replica
        };
        least_valuable_first.find(makes_room).cloned()
    }

    /// Returns the number of hosts in a fabric domain that are spare or usable members of
    /// outdated groups of a record.
    fn hosts_after_dissolving(&self, record: &RecordName, fabric_domain: &FabricDomainId) -> u32 {
        let by_fabric = placement::spares(self.now, self.view, &self.table);
        let spares = by_fabric.get(fabric_domain).map_or(0, Vec::len);
        let held: usize = self
            .groups_of(record, false)
            .iter()
            .map(|id| &self.table.groups()[id])
            .filter(|group| &group.fabric_domain == fabric_domain)
            .flat_map(|group| &group.members)
            .filter(|member| self.is_usable(&member.host))
            .count();
        u32::try_from(spares + held).unwrap_or(u32::MAX)
    }

    fn is_usable(&self, host: &HostId) -> bool {
        !self.view.is_leaving_service(host) && self.view.recent(self.now, host).is_some()
    }
}
