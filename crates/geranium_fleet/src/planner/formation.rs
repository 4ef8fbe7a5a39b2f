//! Forms groups from free hosts of one fabric domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use geranium_core::time::Timestamp;

use super::memory::{Formed, Staging};
use super::view::GroupView;
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

/// Readiness of a host that has to load the weights.
const LOADS: u8 = 2;

/// What the formation of groups depends on.
pub(super) struct Formation<'a> {
    /// Hosts that each model lacks to have its share.
    pub(super) lacks: Vec<f64>,
    /// The engine.
    pub(super) profile: &'a EngineProfile,
    /// Whether requests have been seen.
    pub(super) traffic: bool,
    /// The present time.
    pub(super) now: Timestamp,
}

impl GroupPlanner {
    /// Forms as many groups as the free hosts allow.
    ///
    /// Groups form from hosts that join at once or have the weights. Before the
    /// first request the others load while they join.
    pub(super) fn form(
        &mut self,
        hosts: &[&Host],
        directory: &Directory,
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        let ordered = |h: &Host| orders.iter().any(|o| o.host == h.id);
        let mut domains: BTreeMap<&str, Vec<&Host>> = BTreeMap::new();
        for host in hosts.iter().copied() {
            let Some(domain) = host.fabric_domain.as_deref() else {
                continue;
            };
            if self.is_free(host, directory, now) && !ordered(host) {
                domains.entry(domain).or_default().push(host);
            }
        }
        for free in domains.values_mut() {
            loop {
                let quick = |m: &ModelProfile| self.quick(free, m) >= m.size;
                let any = |m: &ModelProfile| !formation.traffic && free.len() >= m.size;
                let model = best_model(formation, quick).or_else(|| best_model(formation, any));
                let Some(i) = model else {
                    break;
                };
                let model = &formation.profile.models[i];
                self.form_one(model, free, now, orders);
                formation.lacks[i] -= model.size as f64;
            }
        }
    }

    /// Loads weights on hosts beside their work, so that each can join another
    /// model's group soon.
    pub(super) fn stage(
        &mut self,
        hosts: &[&Host],
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        for host in hosts.iter().copied() {
            let joining = host.membership.as_ref().is_some_and(|m| m.state == GroupState::Joining);
            let ordered = orders.iter().any(|o| o.host == host.id);
            if joining || ordered || !self.is_alive(host, now) || self.is_held(host, now) {
                continue;
            }
            if self.staging_model(host, formation.profile, now).is_some() {
                continue;
            }
            let last = self.last_model(host).cloned();
            let other = |m: &ModelProfile| Some(&m.name) != last.as_ref();
            let has_other = formation.profile.models.iter().any(|m| other(m) && host.has_staged(&m.name));
            if has_other {
                continue;
            }
            let Some(i) = best_model(formation, other) else {
                continue;
            };
            if formation.traffic && !self.may_load(formation.profile, now) {
                return;
            }
            let model = &formation.profile.models[i];
            if last.is_none() {
                formation.lacks[i] -= 1.0;
            }
            let staging = Staging {
                born: host.born,
                model: model.name.clone(),
                at: now,
            };
            self.staging.insert(host.id.clone(), staging);
            orders.push(order_to(host, OrderKind::Stage { model: model.name.clone() }));
        }
    }

    /// Returns how many hosts join a model's group without a load.
    fn quick(&self, free: &[&Host], model: &ModelProfile) -> usize {
        free.iter().filter(|h| self.readiness(h, model) < LOADS).count()
    }

    /// Returns how soon a host can serve a model: lower is sooner.
    fn readiness(&self, host: &Host, model: &ModelProfile) -> u8 {
        if self.last_model(host) == Some(&model.name) {
            0
        } else if host.has_staged(&model.name) {
            1
        } else {
            LOADS
        }
    }

    /// Returns the hosts that each model lacks to have its share.
    pub(super) fn lacking_hosts(
        &self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        profile: &EngineProfile,
        shares: &[f64],
        now: Timestamp,
    ) -> Vec<f64> {
        let alive = hosts.iter().filter(|h| self.is_alive(h, now)).count() as f64;
        let mut lacks: Vec<f64> = shares.iter().map(|s| s * alive).collect();
        for view in views {
            let broken = view.head().is_none_or(|h| {
                let state = h.membership.as_ref().map(|m| m.state);
                state == Some(GroupState::Broken) || self.is_dead(h, now)
            });
            if broken {
                continue;
            }
            let formed = self.formed.get(&view.group).map(|f| &f.model);
            let model = formed.or_else(|| view.model());
            let index = model.and_then(|m| profile.models.iter().position(|p| p.name == *m));
            if let Some(i) = index {
                lacks[i] -= view.members.len() as f64;
            }
        }
        lacks
    }

    fn may_load(&mut self, profile: &EngineProfile, now: Timestamp) -> bool {
        let most = profile.loads_per_s * self.cfg.load_window.as_secs_f64();
        self.loads.try_take(most as usize, now)
    }

    /// Takes the members of one group from the free hosts and orders them to join.
    fn form_one(
        &mut self,
        model: &ModelProfile,
        free: &mut Vec<&Host>,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        free.sort_by_key(|h| (self.readiness(h, model), h.id.clone()));
        let members: Vec<&Host> = free.drain(..model.size).collect();
        self.epoch += 1;
        self.next_group += 1;
        let group: Arc<str> = format!("{}-{}", self.cfg.nonce, self.next_group).into();
        let formed = Formed {
            model: model.name.clone(),
            epoch: self.epoch,
            members: members.iter().map(|h| (h.id.clone(), h.born)).collect(),
            at: now,
            open_sent: false,
            abandoned: false,
        };
        orders.extend(members.iter().map(|h| order_to(h, formed.join(&group))));
        self.formed.insert(group, formed);
    }
}

/// Returns the model that lacks most groups among those that fit.
fn best_model(formation: &Formation<'_>, fits: impl Fn(&ModelProfile) -> bool) -> Option<usize> {
    let candidates = formation.profile.models.iter().enumerate().filter(|(_, m)| fits(m));
    let by_groups = candidates.map(|(i, m)| (i, formation.lacks[i] / m.size as f64));
    by_groups.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}
