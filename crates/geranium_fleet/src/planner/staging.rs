//! Loads weights beside other work, so that hosts can join another model soon.

use std::sync::Arc;

use geranium_core::collections::HashMap;

use super::formation::{Formation, LOADS, best_model};
use super::memory::Staging;
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::ModelProfile;
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

/// Hosts that never ran a model, and those that they can make up groups with.
#[derive(Debug, Default)]
struct Newcomers {
    /// Hosts without a group that have or load a model's weights, by fabric domain.
    usable: HashMap<(Arc<str>, usize), usize>,
    /// Newcomers that no load was chosen for yet, by fabric domain.
    undecided: HashMap<Arc<str>, usize>,
}

impl Newcomers {
    /// Returns how many more hosts a fabric domain needs to make up a group of hosts
    /// without one.
    fn missing(&self, domain: &Arc<str>, formation: &Formation<'_>) -> usize {
        let models = formation.profile.models.iter().enumerate();
        let missing = models.map(|(i, m)| {
            let usable = self.usable.get(&(domain.clone(), i)).copied().unwrap_or(0);
            m.size - usable % m.size
        });
        missing.min().unwrap_or(usize::MAX)
    }

    /// Chooses the first model of a newcomer: one whose group its fabric domain can
    /// complete, or else the one that lacks fewest hosts for a group.
    fn choose(&mut self, host: &Host, formation: &Formation<'_>) -> Option<usize> {
        let domain = host.fabric_domain.clone()?;
        let undecided = self.undecided.get(&domain).copied().unwrap_or(1);
        let missing = |i: usize, m: &ModelProfile| {
            let usable = self.usable.get(&(domain.clone(), i)).copied().unwrap_or(0);
            m.size - usable % m.size
        };
        let models = formation.profile.models.iter().enumerate();
        let missing: Vec<usize> = models.map(|(i, m)| missing(i, m)).collect();
        let index = |m: &ModelProfile| {
            formation
                .profile
                .models
                .iter()
                .position(|p| p.name == m.name)
        };
        let completes = |m: &ModelProfile| index(m).is_some_and(|i| missing[i] <= undecided);
        let fewest = || (0..missing.len()).min_by_key(|i| missing[*i]);
        let chosen = best_model(formation, completes).or_else(fewest)?;
        *self.usable.entry((domain.clone(), chosen)).or_default() += 1;
        if let Some(undecided) = self.undecided.get_mut(&domain) {
            *undecided -= 1;
        }
        Some(chosen)
    }
}

impl GroupPlanner {
    /// Orders loads for hosts whose one staged place holds nothing of use.
    ///
    /// Hosts that never ran a model come first, then hosts without a group, among these
    /// first those of fabric domains that lack fewest for a group: loads are few, and
    /// scattered over fabric domains they make up no group. While requests are served, no
    /// more loads run than the weight store bears at once.
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
            } else if self.wants_weights(host, formation)
                && !orders.iter().any(|o| o.host == host.id)
            {
                wanting.push((self.urgency(host, directory), host));
            }
        }
        let mut newcomers = self.newcomers(hosts, &wanting, formation);
        wanting.sort_by_cached_key(|(urgency, host)| {
            let domain = host.fabric_domain.clone();
            let missing = domain.as_ref().map(|d| newcomers.missing(d, formation));
            (*urgency, missing, domain, host.id.clone())
        });
        for (_, host) in wanting {
            if formation.traffic && under_way >= formation.profile.loads_at_once {
                return;
            }
            let last = self.last_model(host).cloned();
            let other = |m: &ModelProfile| Some(&m.name) != last.as_ref();
            let first = if last.is_none() {
                newcomers.choose(host, formation)
            } else {
                None
            };
            let Some(i) = first.or_else(|| best_model(formation, other)) else {
                continue;
            };
            if formation.traffic && !self.may_load(formation) {
                return;
            }
            let model = formation.profile.models[i].name.clone();
            if last.is_none() {
                formation.lacks[i] -= 1.0;
            }
            under_way += 1;
            self.order_stage(host, model, formation, orders);
        }
    }

    fn order_stage(
        &mut self,
        host: &Host,
        model: Arc<str>,
        formation: &Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let staging = Staging {
            born: host.born,
            model: model.clone(),
            at: formation.now,
        };
        self.staging.insert(host.id.clone(), staging);
        orders.push(order_to(host, OrderKind::Stage { model }));
    }

    /// Counts the hosts without a group that could make up groups with newcomers.
    fn newcomers(
        &self,
        hosts: &[&Host],
        wanting: &[(u8, &Host)],
        formation: &Formation<'_>,
    ) -> Newcomers {
        let mut newcomers = Newcomers::default();
        let is_new = |h: &Host| self.last_model(h).is_none();
        for (_, host) in wanting.iter().filter(|(_, h)| is_new(h)) {
            if let Some(domain) = &host.fabric_domain {
                *newcomers.undecided.entry(domain.clone()).or_default() += 1;
            }
        }
        for host in hosts
            .iter()
            .filter(|h| h.membership.is_none() && self.is_alive(h, formation.now))
        {
            let Some(domain) = &host.fabric_domain else {
                continue;
            };
            let coming = self.staging_model(host, formation.profile, formation.now);
            for (i, model) in formation.profile.models.iter().enumerate() {
                if coming == Some(&model.name) || self.readiness(host, model) < LOADS {
                    *newcomers.usable.entry((domain.clone(), i)).or_default() += 1;
                }
            }
        }
        newcomers
    }

    /// Returns whether a host could use other weights and may be told to load.
    fn wants_weights(&self, host: &Host, formation: &Formation<'_>) -> bool {
        let now = formation.now;
        let state = host.membership.as_ref().map(|m| m.state);
        if state == Some(GroupState::Joining)
            || !self.is_alive(host, now)
            || self.is_held(host, now)
        {
            return false;
        }
        let last = self.last_model(host);
        let other = |m: &&ModelProfile| Some(&m.name) != last;
        let mut others = formation.profile.models.iter().filter(other);
        !others.any(|m| host.has_staged(&m.name))
    }

    /// Returns the order in which hosts load: lower is sooner.
    fn urgency(&self, host: &Host, directory: &Directory) -> u8 {
        if directory.is_domain_out(&host.failure_domain) {
            3
        } else if self.last_model(host).is_none() {
            0
        } else if host.membership.is_none() {
            1
        } else {
            2
        }
    }

    fn may_load(&mut self, formation: &Formation<'_>) -> bool {
        let most = formation.profile.loads_per_s * self.cfg.load_window.as_secs_f64();
        self.loads.try_take(most as usize, formation.now)
    }
}
