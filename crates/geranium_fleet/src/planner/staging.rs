//! Loads weights beside other work, so that hosts can join another model soon.

use std::sync::Arc;

use super::formation::{Formation, LOADS, best_model};
use super::memory::Staging;
use super::supply::Supply;
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

impl GroupPlanner {
    /// Orders loads for hosts whose one staged place holds nothing of use.
    ///
    /// Hosts that never ran a model come first, then hosts without a group, among these
    /// first those of fabric domains that lack fewest for a group: loads are few, and
    /// scattered over fabric domains they make up no group. A host that never ran a model
    /// may get other weights than it holds if it has no use with these. While requests are
    /// served, no more loads run than the weight store bears at once.
    pub(super) fn stage(
        &mut self,
        hosts: &[&Host],
        directory: &Directory,
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        let mut under_way = 0;
        let mut wanting: Vec<(u8, &Host)> = Vec::new();
        for host in hosts.iter().copied() {
            if self.staging_model(host, formation.profile, now).is_some() {
                under_way += 1;
            } else if self.wants_weights(host, directory, formation)
                && !orders.iter().any(|o| o.host == host.id)
            {
                wanting.push((self.urgency(host, directory), host));
            }
        }
        let mut supply = self.supply(hosts, &wanting, formation);
        wanting.sort_by_cached_key(|(urgency, host)| {
            let domain = host.fabric_domain.clone();
            let missing = domain.as_ref().map(|d| supply.missing(d, formation));
            (*urgency, missing, domain, host.id.clone())
        });
        for (_, host) in wanting {
            if formation.traffic && under_way >= formation.profile.max_concurrent_loads {
                return;
            }
            let Some(i) = self.next_weights(host, &mut supply, formation) else {
                continue;
            };
            if formation.traffic && !self.may_load(formation) {
                return;
            }
            let model = formation.profile.models[i].name.clone();
            if self.last_model(host).is_none() {
                formation.lacks[i] -= 1.0;
            }
            under_way += 1;
            self.order_stage(host, model, formation, orders);
        }
    }

    /// Returns the model whose weights a host is to load next.
    fn next_weights(
        &self,
        host: &Host,
        supply: &mut Supply,
        formation: &Formation<'_>,
    ) -> Option<usize> {
        if let Some(last) = self.last_model(host) {
            return best_model(formation, |m| m.name != *last);
        }
        let domain = host.fabric_domain.as_ref()?;
        supply.choose(domain, held_model(host, formation.profile), formation)
    }

    fn order_stage(
        &mut self,
        host: &Host,
        model: Arc<str>,
        formation: &Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let staging = Staging {
            incarnation: host.incarnation,
            model: model.clone(),
            at: formation.now,
        };
        self.staging.insert(host.id.clone(), staging);
        orders.push(order_to(host, OrderKind::Stage { model }));
    }

    /// Counts hosts by fabric domain and the models that they run, hold or could load.
    fn supply(
        &self,
        hosts: &[&Host],
        wanting: &[(u8, &Host)],
        formation: &Formation<'_>,
    ) -> Supply {
        let profile = formation.profile;
        let models = profile.models.len();
        let mut supply = Supply::default();
        for (_, host) in wanting {
            if let Some(domain) = &host.fabric_domain
                && self.last_model(host).is_none()
            {
                supply.add_loader(domain, held_model(host, profile), models);
            }
        }
        for host in hosts.iter().filter(|h| self.is_alive(h, formation.now)) {
            let Some(domain) = &host.fabric_domain else {
                continue;
            };
            if host.membership.is_some() {
                let model = self.last_model(host).or(host.model.as_ref());
                if let Some(i) = model.and_then(|m| profile.model_index(m)) {
                    supply.add_member(domain, i, models);
                }
                continue;
            }
            let coming = self.staging_model(host, profile, formation.now);
            let is_usable = |m: &ModelProfile| match coming {
                // The load takes the place of the weights that lie there.
                Some(model) => *model == m.name || self.last_model(host) == Some(&m.name),
                None => self.readiness(host, m) < LOADS,
            };
            let usable: Vec<bool> = profile.models.iter().map(is_usable).collect();
            supply.add_free(domain, &usable);
        }
        supply
    }

    /// Returns whether a host could use other weights and may be told to load.
    fn wants_weights(&self, host: &Host, directory: &Directory, formation: &Formation<'_>) -> bool {
        let now = formation.now;
        let state = host.membership.as_ref().map(|m| m.state);
        if state == Some(GroupState::Joining)
            || !self.is_alive(host, now)
            || self.is_held(host, now)
        {
            return false;
        }
        let last = self.last_model(host);
        if last.is_none() && host.membership.is_none() && !host.staged.is_empty() {
            // It holds weights and still has no group.
            return !directory.is_domain_out(&host.failure_domain);
        }
        let other = |m: &&ModelProfile| Some(&m.name) != last;
        let mut others = formation.profile.models.iter().filter(other);
        !others.any(|m| host.has_staged(&m.name))
    }

    /// Returns the order in which hosts load: lower is sooner.
    fn urgency(&self, host: &Host, directory: &Directory) -> u8 {
        if directory.is_domain_out(&host.failure_domain) {
            3
        } else if self.last_model(host).is_none() && host.staged.is_empty() {
            0
        } else if host.membership.is_none() {
            1
        } else {
            2
        }
    }

    fn may_load(&mut self, formation: &Formation<'_>) -> bool {
        let most = formation.profile.max_loads_per_s * self.cfg.load_window.as_secs_f64();
        self.loads.try_acquire(most as usize, formation.now)
    }
}

/// Returns the model whose weights lie on a host.
fn held_model(host: &Host, profile: &EngineProfile) -> Option<usize> {
    let held = |m: &ModelProfile| host.has_staged(&m.name);
    profile.models.iter().position(held)
}
