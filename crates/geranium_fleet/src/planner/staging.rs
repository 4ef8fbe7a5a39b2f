//! Loads weights beside other work, so that hosts can soon join a group of another model.

use std::sync::Arc;

use super::formation::{Formation, MUST_LOAD, best_model};
use super::load_rank::LoadRank;
use super::spares::SpareHosts;
use super::state::Staging;
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

/// Members of a model below its share leave this part of the concurrent loads to others.
const RESERVED_LOADS_DIVISOR: usize = 4;

impl GroupPlanner {
    /// Orders loads for hosts whose only staging slot holds no useful weights.
    ///
    /// Hosts that never ran a model come first, then other hosts without a group; within
    /// each, fabric domains that lack the fewest hosts for a group come first, as loads are
    /// scarce and loads scattered over fabric domains complete no group. A host that never
    /// ran a model may replace the weights it holds if they are of no use. While requests
    /// are served, no more loads run than the weight store can sustain at once.
    ///
    /// If models below their share are favoured, members of groups follow in this order: those
    /// that load weights of a model that lacks more of its share than theirs, then the others.
    /// Members of a model below its share, and hosts without a group that can join one of the model
    /// that lacks more, leave part of the concurrent loads to those before them, if there are any.
    pub(super) fn stage(
        &mut self,
        hosts: &[&Host],
        directory: &Directory,
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        let mut running_loads = 0;
        let mut candidates: Vec<(LoadRank, &Host)> = Vec::new();
        for host in hosts.iter().copied() {
            if self.staging_model(host, formation.profile, now).is_some() {
                running_loads += 1;
            } else if self.can_load_other_weights(host, directory, formation)
                && !orders.iter().any(|o| o.host == host.id)
            {
                candidates.push((self.load_rank(host, directory, formation), host));
            }
        }
        let mut spares = self.count_spares(hosts, &candidates, formation);
        candidates.sort_by_cached_key(|(rank, host)| {
            let domain = host.fabric_domain.clone();
            let missing = domain.as_ref().map(|d| spares.missing(d, formation));
            (*rank, missing, domain, host.id.clone())
        });
        let max_loads = formation.profile.max_concurrent_loads;
        let has_others = candidates.iter().any(|(r, _)| *r < LoadRank::BelowShare);
        let reserved_loads = if has_others {
            max_loads.div_ceil(RESERVED_LOADS_DIVISOR)
        } else {
            0
        };
        for (rank, host) in candidates {
            if rank == LoadRank::BelowShare && running_loads + reserved_loads >= max_loads {
                continue;
            }
            if formation.has_traffic && running_loads >= max_loads {
                return;
            }
            let Some(i) = self.next_model(host, &mut spares, formation) else {
                continue;
            };
            if formation.has_traffic && !self.try_acquire_load(formation) {
                return;
            }
            let model = formation.profile.models[i].name.clone();
            if self.last_model(host).is_none() {
                formation.deficits[i] -= 1.0;
            }
            running_loads += 1;
            self.order_stage(host, model, formation, orders);
        }
    }

    /// Returns the model whose weights a host loads next.
    fn next_model(
        &self,
        host: &Host,
        spares: &mut SpareHosts,
        formation: &Formation<'_>,
    ) -> Option<usize> {
        if let Some(last) = self.last_model(host) {
            return best_model(formation, |m| m.name != *last);
        }
        let domain = host.fabric_domain.as_ref()?;
        spares.choose(domain, staged_model(host, formation.profile), formation)
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

    /// Counts hosts by fabric domain and by the models that they run, hold or could load.
    fn count_spares(
        &self,
        hosts: &[&Host],
        candidates: &[(LoadRank, &Host)],
        formation: &Formation<'_>,
    ) -> SpareHosts {
        let profile = formation.profile;
        let models = profile.models.len();
        let mut spares = SpareHosts::default();
        for (_, host) in candidates {
            if let Some(domain) = &host.fabric_domain
                && self.last_model(host).is_none()
            {
                spares.add_loadable(domain, staged_model(host, profile), models);
            }
        }
        for host in hosts.iter().filter(|h| self.is_alive(h, formation.now)) {
            let Some(domain) = &host.fabric_domain else {
                continue;
            };
            if host.membership().is_some() && !self.is_in_standby_group(host) {
                let model = self.last_model(host).or(host.model.as_ref());
                if let Some(i) = model.and_then(|m| profile.model_index(m)) {
                    spares.add_member(domain, i, models);
                }
                continue;
            }
            let loading = self.staging_model(host, profile, formation.now);
            let is_usable = |m: &ModelProfile| match loading {
                // The load replaces the weights that are staged now.
                Some(model) => *model == m.name || self.last_model(host) == Some(&m.name),
                None => self.readiness(host, m) < MUST_LOAD,
            };
            let usable: Vec<bool> = profile.models.iter().map(is_usable).collect();
            spares.add_spare(domain, &usable);
        }
        spares
    }

    /// Returns whether a host could use other weights and may be ordered to load them.
    fn can_load_other_weights(
        &self,
        host: &Host,
        directory: &Directory,
        formation: &Formation<'_>,
    ) -> bool {
        let now = formation.now;
        let state = host.group_state();
        if state == Some(GroupState::Joining)
            || !self.is_alive(host, now)
            || self.is_busy(host, now)
        {
            return false;
        }
        let last = self.last_model(host);
        if last.is_none() && host.membership().is_none() && !host.staged.is_empty() {
            // The host holds weights but still has no group.
            return !directory.is_domain_out(&host.failure_domain);
        }
        let other = |m: &&ModelProfile| Some(&m.name) != last;
        let mut others = formation.profile.models.iter().filter(other);
        !others.any(|m| host.has_staged(&m.name))
    }

    /// Returns the rank of a host that could load weights.
    fn load_rank(&self, host: &Host, directory: &Directory, formation: &Formation<'_>) -> LoadRank {
        if directory.is_domain_out(&host.failure_domain) {
            return LoadRank::OutOfService;
        }
        if self.last_model(host).is_none() && host.staged.is_empty() {
            return LoadRank::Unused;
        }
        let is_member = host.membership().is_some();
        let usual = if is_member {
            LoadRank::Member
        } else {
            LoadRank::Spare
        };
        if !formation.favours_deficits || !formation.has_traffic {
            return usual;
        }
        let Some((own, other)) = self.own_and_next_model(host, formation) else {
            return usual;
        };
        if formation.lacks_more_than(other, own) {
            return if is_member { LoadRank::Donor } else { usual };
        }
        let is_kept = if is_member {
            formation.deficits[own] > 0.0
        } else {
            formation.lacks_more_than(own, other)
        };
        if is_kept { LoadRank::BelowShare } else { usual }
    }

    /// Returns the model that a host runs or ran, and the one whose weights it would load.
    fn own_and_next_model(&self, host: &Host, formation: &Formation<'_>) -> Option<(usize, usize)> {
        let own = self.last_model(host).or(host.model.as_ref())?;
        let other = best_model(formation, |m| m.name != *own)?;
        Some((formation.profile.model_index(own)?, other))
    }

    fn try_acquire_load(&mut self, formation: &Formation<'_>) -> bool {
        let limit = formation.profile.max_loads_per_s * self.settings.load_window.as_secs_f64();
        self.load_limiter.try_acquire(limit as usize, formation.now)
    }
}

/// Returns the model whose weights are staged on a host.
fn staged_model(host: &Host, profile: &EngineProfile) -> Option<usize> {
    let is_staged = |m: &ModelProfile| host.has_staged(&m.name);
    profile.models.iter().position(is_staged)
}
