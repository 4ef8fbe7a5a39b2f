//! Forms groups from free hosts of one fabric domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use geranium_core::time::Timestamp;

use super::memory::Formed;
use super::view::GroupView;
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::HostOrder;

impl GroupPlanner {
    /// Forms as many groups as the free hosts allow.
    ///
    /// Groups whose weights are staged come first, as they serve soonest; what is
    /// left loads the weights of the model that lacks most hosts.
    #[expect(clippy::too_many_arguments, reason = "one call site, the inputs of a plan")]
    pub(super) fn form(
        &mut self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        directory: &Directory,
        profile: &EngineProfile,
        shares: &[f64],
        traffic: bool,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
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
        let mut lacks = self.lacking_hosts(hosts, views, profile, shares, now);
        for free in domains.values_mut() {
            while let Some(i) = best_model(profile, &lacks, |m| staged(free, m) >= m.size) {
                self.form_one(&profile.models[i], free, now, orders);
                lacks[i] -= profile.models[i].size as f64;
            }
            while let Some(i) = best_model(profile, &lacks, |m| free.len() >= m.size) {
                let model = &profile.models[i];
                let loads = model.size - staged(free, model);
                if traffic && !self.may_load(loads, profile, now) {
                    break;
                }
                self.form_one(model, free, now, orders);
                lacks[i] -= model.size as f64;
            }
        }
    }

    /// Returns the hosts that each model lacks to have its share.
    fn lacking_hosts(
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

    fn may_load(&mut self, loads: usize, profile: &EngineProfile, now: Timestamp) -> bool {
        let most = profile.loads_per_s * self.cfg.load_window.as_secs_f64();
        if self.loads.used(now) + loads > most as usize {
            return false;
        }
        for _ in 0..loads {
            self.loads.try_take(usize::MAX, now);
        }
        true
    }

    /// Takes the members of one group from the free hosts and orders them to join.
    fn form_one(
        &mut self,
        model: &ModelProfile,
        free: &mut Vec<&Host>,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        free.sort_by_key(|h| (readiness(h, model), h.id.clone()));
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

/// Returns how soon a host can serve a model: lower is sooner.
fn readiness(host: &Host, model: &ModelProfile) -> u8 {
    if !host.has_staged(&model.name) {
        2
    } else if host.model.as_ref() == Some(&model.name) {
        0
    } else {
        1
    }
}

fn staged(free: &[&Host], model: &ModelProfile) -> usize {
    free.iter().filter(|h| h.has_staged(&model.name)).count()
}

/// Returns the model that lacks most groups among those that can be formed.
fn best_model(
    profile: &EngineProfile,
    lacks: &[f64],
    can_form: impl Fn(&ModelProfile) -> bool,
) -> Option<usize> {
    let candidates = profile.models.iter().enumerate().filter(|(_, m)| can_form(m));
    let by_groups = candidates.map(|(i, m)| (i, lacks[i] / m.size as f64));
    by_groups.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
}
