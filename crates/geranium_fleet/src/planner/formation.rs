//! Forms groups from the free hosts of one fabric domain.

use std::sync::Arc;

use geranium_core::time::Timestamp;

use super::hold::HeldDomains;
use super::reclaim::MAX_DONOR_DEFICIT_RATIO;
use super::state::{FormedGroup, FormedMember};
use super::view::{GroupView, by_domain};
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::HostOrder;

/// Readiness of a host that has to load the weights first.
pub(super) const MUST_LOAD: u8 = 2;

/// Input for forming groups. The lists are in the order of the profile's models.
pub(super) struct Formation<'a> {
    /// Number of hosts that each model lacks to reach its target.
    pub(super) deficits: Vec<f64>,
    /// Number of hosts that make up each model's share.
    pub(super) targets: Vec<f64>,
    pub(super) profile: &'a EngineProfile,
    /// Whether any request has arrived yet.
    pub(super) has_traffic: bool,
    /// Whether free hosts and loads go first to the model that lacks most of its share.
    pub(super) favours_deficits: bool,
    pub(super) now: Timestamp,
}

impl Formation<'_> {
    /// Returns a model's deficit relative to its target after it gives up `fewer` hosts.
    pub(super) fn relative_deficit(&self, model: usize, fewer: f64) -> f64 {
        (self.deficits[model] + fewer) / self.targets[model].max(1.0)
    }

    /// Returns how urgently a model needs a group, to compare it with the other models.
    ///
    /// If deficits are favoured, that is the number of hosts of its share for each host that it has,
    /// with half of the group (highest averages method of A. Sainte-Laguë): where the hosts do not
    /// suffice for all shares, the models lack about the same part. Otherwise it is the number of
    /// groups that the model lacks.
    fn urgency(&self, model: usize) -> f64 {
        let group_size = self.profile.models[model].group_size as f64;
        if !self.favours_deficits {
            return self.deficits[model] / group_size;
        }
        let hosts = (self.targets[model] - self.deficits[model]).max(0.0);
        self.targets[model] / (hosts + group_size / 2.0).max(f64::MIN_POSITIVE)
    }

    /// Returns whether a model lacks hosts, and far more of its share than another one.
    pub(super) fn lacks_more_than(&self, model: usize, other: usize) -> bool {
        let relative_deficit = self.relative_deficit(model, 0.0);
        self.deficits[model] > 0.0
            && self.relative_deficit(other, 0.0) < relative_deficit * MAX_DONOR_DEFICIT_RATIO
    }
}

impl GroupPlanner {
    /// Forms as many groups as the free hosts allow.
    ///
    /// Groups are formed from hosts that can join at once or hold the weights. Before the
    /// first request, other hosts join as well and load the weights while joining.
    pub(super) fn form_groups(
        &mut self,
        hosts: &[&Host],
        directory: &Directory,
        held: &HeldDomains,
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        let ordered = |h: &Host| orders.iter().any(|o| o.host == h.id);
        let mut domains = by_domain(hosts);
        for free in domains.values_mut() {
            free.retain(|h| self.is_free(h, directory, now) && !ordered(h));
        }
        let awaited = |h: &Host| self.is_awaited_standby(h, now);
        let awaited: Vec<&Host> = hosts.iter().copied().filter(|h| awaited(h)).collect();
        let awaited = by_domain(&awaited);
        for (domain, free) in &mut domains {
            let awaited = awaited.get(*domain).map_or(&[][..], |a| a);
            loop {
                let reserved = self.reclaims.get(*domain).map(|r| &r.model);
                let is_allowed = |m: &ModelProfile| {
                    let model = formation.profile.model_index(&m.name);
                    let is_reserved = reserved.is_some_and(|r| *r != m.name);
                    !is_reserved && model.is_some_and(|i| held.allow(domain, i, formation))
                };
                let best_with = |others: &[&Host]| {
                    best_model(formation, |m| {
                        let prepared =
                            self.count_prepared(free, m) + self.count_prepared(others, m);
                        prepared >= m.group_size && is_allowed(m)
                    })
                };
                let any = |m: &ModelProfile| !formation.has_traffic && free.len() >= m.group_size;
                let best_now = best_with(&[]);
                let best_soon = best_with(awaited);
                // A standby host will soon allow a group of a model with a larger deficit, so
                // the hosts are kept for it.
                if best_soon != best_now {
                    break;
                }
                let model = best_now.or_else(|| best_model(formation, any));
                let Some(i) = model else {
                    break;
                };
                let model = &formation.profile.models[i];
                self.form_group(model, free, now, orders);
                self.reclaims.remove(*domain);
                formation.deficits[i] -= model.group_size as f64;
            }
        }
    }

    /// Returns how many hosts can join a group of the model without loading weights.
    pub(super) fn count_prepared(&self, free: &[&Host], model: &ModelProfile) -> usize {
        free.iter()
            .filter(|h| self.readiness(h, model) < MUST_LOAD)
            .count()
    }

    /// Returns how soon a host can serve a model; lower is sooner.
    pub(super) fn readiness(&self, host: &Host, model: &ModelProfile) -> u8 {
        if self.last_model(host) == Some(&model.name) {
            0
        } else if host.has_staged(&model.name) {
            1
        } else {
            MUST_LOAD
        }
    }

    /// Computes how many hosts each model has and should have.
    pub(super) fn compute_formation<'a>(
        &self,
        (hosts, directory): (&[&Host], &Directory),
        views: &[GroupView<'_>],
        profile: &'a EngineProfile,
        shares: &[f64],
        has_traffic: bool,
        now: Timestamp,
    ) -> Formation<'a> {
        // Hosts of a failure domain that is out of service do no work for any model.
        let in_service = |h: &&&Host| !directory.is_domain_out(&h.failure_domain);
        let alive = hosts
            .iter()
            .filter(in_service)
            .filter(|h| self.is_alive(h, now))
            .count() as f64;
        let targets: Vec<f64> = shares.iter().map(|s| s * alive).collect();
        let mut formation = Formation {
            deficits: targets.clone(),
            targets,
            profile,
            has_traffic,
            favours_deficits: self.favours_deficits,
            now,
        };
        for view in views {
            let broken = view.head().is_none_or(|h| {
                let state = h.group_state();
                let out = directory.is_domain_out(&h.failure_domain);
                out || state == Some(GroupState::Broken) || self.is_dead(h, now)
            });
            if broken || self.standby_groups.contains(&view.group) {
                continue;
            }
            if let Some(i) = self.model_index(view, &formation) {
                formation.deficits[i] -= view.members.len() as f64;
            }
        }
        formation
    }

    /// Returns the index of a group's model in the profile.
    pub(super) fn model_index(
        &self,
        view: &GroupView<'_>,
        formation: &Formation<'_>,
    ) -> Option<usize> {
        let formed = self.formed_groups.get(&view.group).map(|f| &f.model);
        let model = formed.or_else(|| view.model())?;
        formation.profile.model_index(model)
    }

    /// Returns a new group's name and epoch.
    pub(super) fn new_group(&mut self) -> (Arc<str>, u64) {
        self.epoch += 1;
        self.next_group += 1;
        let group = format!("{}-{}", self.settings.nonce, self.next_group);
        (group.into(), self.epoch)
    }

    /// Takes the members of one group from the free hosts and orders them to join.
    fn form_group(
        &mut self,
        model: &ModelProfile,
        free: &mut Vec<&Host>,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        free.sort_by_key(|h| (self.readiness(h, model), h.id.clone()));
        let members: Vec<&Host> = free.drain(..model.group_size).collect();
        let (group, epoch) = self.new_group();
        let formed = FormedGroup {
            model: model.name.clone(),
            epoch,
            members: members.iter().map(|h| FormedMember::new(h)).collect(),
            at: now,
            open_sent: false,
            abandoned: false,
        };
        orders.extend(
            members
                .iter()
                .map(|h| order_to(h, formed.join_order(&group))),
        );
        self.formed_groups.insert(group, formed);
    }
}

/// Returns the model that needs a group most urgently, among those that fit.
pub(super) fn best_model(
    formation: &Formation<'_>,
    fits: impl Fn(&ModelProfile) -> bool,
) -> Option<usize> {
    let models = formation.profile.models.iter().enumerate();
    let candidates = models.filter(|(_, m)| fits(m));
    let by_urgency = candidates.map(|(i, _)| (i, formation.urgency(i)));
    by_urgency
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}
