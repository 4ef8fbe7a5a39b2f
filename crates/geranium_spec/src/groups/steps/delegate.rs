//! Delegation of spares and repair by their holder.

use geranium_core::group::{Delegation, GroupTable};
use geranium_core::id::Incarnation;

use super::Steps;
use crate::Mutation;
use crate::groups::GroupAction as A;
use crate::groups::bounds::EngineKind;
use crate::groups::facts::host_index;
use crate::groups::model::fabric_domain;
use crate::groups::state::KnownTable;
use crate::groups::{GroupModel, GroupWorld};

impl GroupModel {
    /// Takes back what is delegated: from the process itself at once, from others
    /// by fencing the spares.
    pub(super) fn take_back(&self, table: &mut GroupTable, leader: u8) -> Option<Delegation> {
        let kept = table.return_delegations(self.process(leader));
        let holders: Vec<Incarnation> = table.delegations().values().map(|d| d.holder).collect();
        for holder in holders {
            if self.mutates(Mutation::RevokeWithoutFencing) {
                table.return_delegations(holder);
            } else {
                table
                    .revoke_delegation(&fabric_domain())
                    .expect("the fabric domain is delegated");
            }
        }
        kept.into_values().next()
    }

    /// Delegates the free hosts whose engines check fencing numbers.
    pub(super) fn delegate(&self, table: &mut GroupTable, leader: u8, kept: Option<&Delegation>) {
        if self.bounds.amendments == 0 {
            return;
        }
        let checks =
            |host| self.bounds.engines[usize::from(host_index(host))] == EngineKind::Checks;
        let spares = self
            .hosts
            .iter()
            .filter(|member| checks(&member.host) && table.is_free(&member.host))
            .cloned()
            .collect();
        table
            .delegate(&fabric_domain(), self.process(leader), spares, kept)
            .expect("the spares are free");
    }

    /// Repairs without the store, which the process may fail to reach at any time.
    pub(super) fn amend_steps(
        &self,
        world: &GroupWorld,
        leader: u8,
        known: KnownTable,
        steps: &mut Steps,
    ) {
        if world.amendments >= self.bounds.amendments {
            return;
        }
        let table = self.tables.value(known.table);
        let Some(holder) = self.assumed_holder(&table, leader) else {
            return;
        };
        for (id, group) in table.groups() {
            for old in &group.members {
                for new in &self.hosts {
                    let replacement = [(old.host.clone(), new.clone())];
                    let mut amended = table.clone();
                    let outcome = amended.replace_members_as_holder(holder, id, &replacement);
                    if outcome.is_err() {
                        continue;
                    }
                    let mut next = world.clone();
                    next.amendments += 1;
                    next.leaders[usize::from(leader)].known = Some(KnownTable {
                        table: self.tables.number(amended),
                        revision: known.revision,
                    });
                    let what = format!("{} takes the place of {} in {id}", new.host, old.host);
                    steps.push((A::Amend(leader, what.into()), next));
                }
            }
        }
    }

    /// Returns as whom a process repairs, if it takes itself to have the right.
    fn assumed_holder(&self, table: &GroupTable, leader: u8) -> Option<Incarnation> {
        let holder = table.delegations().get(&fabric_domain())?.holder;
        let has_right = holder == self.process(leader);
        (has_right || self.mutates(Mutation::RepairWithoutRight)).then_some(holder)
    }
}
