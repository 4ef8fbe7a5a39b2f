//! Groups that serve a model to a client account.

use super::RouteRefusal;
use super::slot::GroupSlot;
use crate::collections::HashMap;
use crate::id::{AccountId, FailureDomainId, ModelId, RecordName};
use crate::record::ModelSpec;

/// Slots of the groups that serve a model to one client account.
#[derive(Clone, Debug, Default)]
pub(super) struct EligibleGroups {
    /// Groups of this failure domain.
    pub(super) local: Vec<u16>,
    /// Groups of other failure domains.
    pub(super) remote: Vec<u16>,
}

/// Table of the groups that serve each model to each client account.
#[derive(Clone, Debug, Default)]
pub(super) struct EligibilityTable {
    accounts: HashMap<RecordName, Vec<AccountId>>,
    groups: HashMap<ModelId, HashMap<AccountId, EligibleGroups>>,
}

impl EligibilityTable {
    /// Sets the client accounts that each record serves.
    pub(super) fn set_records(&mut self, records: &[ModelSpec]) {
        let accounts = records.iter().map(|spec| {
            let accounts = spec.accounts.iter().map(|share| share.account.clone());
            (spec.name.clone(), accounts.collect())
        });
        self.accounts = accounts.collect();
    }

    /// Rebuilds the table from the active groups.
    pub(super) fn rebuild(&mut self, local: &FailureDomainId, slots: &[Option<GroupSlot>]) {
        self.groups.clear();
        for (position, slot) in slots.iter().enumerate() {
            let Some(slot) = slot.as_ref().filter(|slot| slot.active) else {
                continue;
            };
            let serving = &slot.serving;
            let model = self.groups.entry(serving.served_model.clone()).or_default();
            for account in self.accounts.get(&serving.record).into_iter().flatten() {
                let eligible = model.entry(account.clone()).or_default();
                let side = if serving.failure_domain == *local {
                    &mut eligible.local
                } else {
                    &mut eligible.remote
                };
                side.push(position as u16);
            }
        }
    }

    /// Returns the models that at least one group serves.
    pub(super) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.groups.keys()
    }

    /// Returns the groups that serve a model to a client account.
    pub(super) fn find(
        &self,
        model: &ModelId,
        account: &AccountId,
    ) -> Result<&EligibleGroups, RouteRefusal> {
        let accounts = self.groups.get(model);
        let accounts = accounts.ok_or_else(|| RouteRefusal::NoGroup(model.clone()))?;
        let eligible = accounts.get(account);
        eligible.ok_or_else(|| RouteRefusal::NotAllowed(model.clone(), account.clone()))
    }
}
