//! Loads weights beside other work, so that hosts can join another model soon.

use std::sync::Arc;

use super::formation::{Formation, best_model};
use super::memory::Staging;
use super::{GroupPlanner, order_to};
use crate::engine_profile::ModelProfile;
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

impl GroupPlanner {
    /// Orders loads for hosts whose one staged place holds nothing of use.
    ///
    /// Hosts that never ran a model come first, then hosts without a group. While
    /// requests are served, no more loads run than the weight store bears at once.
    pub(super) fn stage(
        &mut self,
        hosts: &[&Host],
        formation: &mut Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        let mut under_way = 0;
        let mut wanting: Vec<(u8, &Host)> = Vec::new();
        for host in hosts.iter().copied() {
            if self.staging_model(host, formation.profile, now).is_some() {
                under_way += 1;
            } else if self.wants_weights(host, formation) && !orders.iter().any(|o| o.host == host.id) {
                wanting.push((self.urgency(host), host));
            }
        }
        wanting.sort_by(|a, b| (a.0, &a.1.id).cmp(&(b.0, &b.1.id)));
        for (_, host) in wanting {
            if formation.traffic && under_way >= formation.profile.loads_at_once {
                return;
            }
            let last = self.last_model(host).cloned();
            let other = |m: &ModelProfile| Some(&m.name) != last.as_ref();
            let Some(i) = best_model(formation, other) else {
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

    /// Returns whether a host could use other weights and may be told to load.
    fn wants_weights(&self, host: &Host, formation: &Formation<'_>) -> bool {
        let now = formation.now;
        let state = host.membership.as_ref().map(|m| m.state);
        if state == Some(GroupState::Joining) || !self.is_alive(host, now) || self.is_held(host, now) {
            return false;
        }
        let last = self.last_model(host);
        let other = |m: &&ModelProfile| Some(&m.name) != last;
        let mut others = formation.profile.models.iter().filter(other);
        !others.any(|m| host.has_staged(&m.name))
    }

    /// Returns the order in which hosts load: lower is sooner.
    fn urgency(&self, host: &Host) -> u8 {
        if self.last_model(host).is_none() {
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
