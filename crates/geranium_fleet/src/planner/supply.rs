//! How many hosts and groups each model has, and how many it should have.

use std::sync::Arc;

use super::GroupPlanner;
use super::formation::{Formation, MUST_LOAD};
use super::view::GroupView;
use crate::directory::Directory;
use crate::host::{GroupState, Host};

/// Hosts and groups of one model, as of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSupply {
    /// Name of the model.
    pub model: Arc<str>,
    /// Hosts that make up its share.
    pub target_hosts: f64,
    /// Hosts in its groups, open or not.
    pub hosts: f64,
    /// Groups that serve.
    pub open_groups: usize,
    /// Groups that are being formed.
    pub forming_groups: usize,
    /// Groups that take no new requests, as they close or lost a member.
    pub ending_groups: usize,
    /// Hosts without a group that can join one without loading weights.
    pub prepared_hosts: usize,
    /// Hosts that load its weights beside other work.
    pub loading_hosts: usize,
    /// Members of groups of other models that hold its weights.
    pub staged_members: usize,
    /// Fabric domains in which groups of other models are closing for it.
    pub reclaims: usize,
}

impl GroupPlanner {
    /// Lets the next plan record the hosts and groups of each model.
    pub const fn request_supply(&mut self) {
        self.supply_requested = true;
    }

    /// Returns the hosts and groups of each model that were recorded last, in the order of the profile.
    #[must_use]
    pub fn supply(&self) -> &[ModelSupply] {
        &self.supply
    }

    /// Records the hosts and groups of each model.
    pub(super) fn record_supply(
        &mut self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        directory: &Directory,
        formation: &Formation<'_>,
    ) {
        let models = 0..formation.profile.models.len();
        let supply = models.map(|i| self.model_supply(i, hosts, directory, formation));
        let mut supply: Vec<ModelSupply> = supply.collect();
        for view in views {
            let Some(i) = self.model_index(view, formation) else {
                continue;
            };
            if self.standby_groups.contains(&view.group) {
                continue;
            }
            let head = view.head().filter(|h| !self.is_dead(h, formation.now));
            match head.and_then(Host::group_state) {
                Some(GroupState::Open) => supply[i].open_groups += 1,
                Some(GroupState::Joining | GroupState::Ready) => supply[i].forming_groups += 1,
                _ => supply[i].ending_groups += 1,
            }
        }
        self.supply = supply;
    }

    fn model_supply(
        &self,
        index: usize,
        hosts: &[&Host],
        directory: &Directory,
        formation: &Formation<'_>,
    ) -> ModelSupply {
        let now = formation.now;
        let model = &formation.profile.models[index];
        let is_prepared = |h: &&&Host| self.readiness(h, model) < MUST_LOAD;
        let is_loading =
            |h: &&&Host| self.staging_model(h, formation.profile, now) == Some(&model.name);
        let is_staged_member = |h: &&&Host| {
            h.membership().is_some()
                && self.last_model(h) != Some(&model.name)
                && h.has_staged(&model.name)
        };
        let alive = || hosts.iter().filter(|h| self.is_alive(h, now));
        let free = alive().filter(|h| self.is_free(h, directory, now));
        let reclaims = self.reclaims.values();
        ModelSupply {
            model: model.name.clone(),
            target_hosts: formation.targets[index],
            hosts: formation.targets[index] - formation.deficits[index],
            open_groups: 0,
            forming_groups: 0,
            ending_groups: 0,
            prepared_hosts: free.filter(is_prepared).count(),
            loading_hosts: alive().filter(is_loading).count(),
            staged_members: alive().filter(is_staged_member).count(),
            reclaims: reclaims.filter(|r| r.model == model.name).count(),
        }
    }
}
