//! Lets hosts without a group join once in advance, so that a later join needs no warm-up.
//!
//! Such a host joins a group with itself as the only member and leaves it as soon as it is
//! ready. The planner keeps nothing about these standby groups: it recognises them, also
//! those of another manager, by what hosts report.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use super::formation::Formation;
use super::view::{GroupView, by_domain};
use super::{GroupPlanner, STAGING_TIMEOUT_FACTOR, order_to};
use crate::directory::Directory;
use crate::engine_profile::{EngineProfile, ModelProfile};
use crate::host::{GroupState, Host};
use crate::order::{HostOrder, OrderKind};

/// Maximum number of hosts of a fabric domain that are in standby groups at the same time.
const MAX_CONCURRENT_PER_DOMAIN: usize = 2;
/// Time after which a host that is still joining a standby group is ordered to leave it. A
/// host that takes longer is loading weights.
const STANDBY_TIMEOUT: Duration = Duration::from_secs(4);

/// Models of the groups of one fabric domain, as indexes into the profile.
#[derive(Debug, Default)]
struct DomainModels {
    /// Models of groups that serve.
    running: Vec<usize>,
    /// Models of groups that lack a member and are about to be formed anew.
    lacking: Vec<usize>,
}

impl GroupPlanner {
    /// Sets whether hosts without a group are prepared by standby joins.
    pub const fn set_standby(&mut self, standby: bool) {
        self.standby = standby;
    }

    /// Stops or resumes new standby joins. They have to pause while the store cannot be
    /// read, as the state of hosts without a group is not known then.
    pub fn pause_standby(&mut self, paused: bool) {
        self.standby_paused = paused;
    }

    /// Records which of the reported groups are standby groups.
    pub(super) fn observe_standby(&mut self, views: &[GroupView<'_>], profile: &EngineProfile) {
        let is_standby = |v: &&GroupView<'_>| self.is_standby_group(v, profile);
        let groups = views.iter().filter(is_standby).map(|v| v.group.clone());
        self.standby_groups = groups.collect();
    }

    /// Returns whether a host is in a standby group.
    pub(super) fn is_in_standby_group(&self, host: &Host) -> bool {
        let membership = host.membership();
        membership.is_some_and(|m| self.standby_groups.contains(&m.group))
    }

    /// Returns whether a host is about to become free again after a standby join.
    pub(super) fn is_awaited_standby(&self, host: &Host, now: Timestamp) -> bool {
        let is_due = match host.membership() {
            Some(m) => {
                let first_seen = self.first_seen.get(&m.group);
                first_seen.is_some_and(|at| now.since(*at) < STANDBY_TIMEOUT)
            }
            None => {
                let pending = self.pending_orders.get(&host.id);
                pending.is_some_and(|p| now < p.until)
            }
        };
        is_due && self.is_standby_pending(host) && self.is_alive(host, now)
    }

    /// Orders the member of a standby group to leave once it is ready.
    pub(super) fn end_standby(
        &self,
        view: &GroupView<'_>,
        head: &Host,
        now: Timestamp,
        orders: &mut Vec<HostOrder>,
    ) {
        let state = head.group_state();
        let first_seen = self.first_seen.get(&view.group).copied().unwrap_or(now);
        if state == Some(GroupState::Ready) || now.since(first_seen) >= STANDBY_TIMEOUT {
            orders.push(order_to(head, view.leave_order()));
        }
    }

    /// Orders standby joins for hosts without a group that hold the weights of a model whose
    /// groups run in their fabric domain.
    pub(super) fn begin_standby(
        &mut self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        directory: &Directory,
        formation: &Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        if !self.standby || self.standby_paused {
            return;
        }
        let models = self.models_by_domain(views, formation);
        for (domain, members) in by_domain(hosts) {
            let Some(models) = models.get(domain) else {
                continue;
            };
            if self.reclaims.contains_key(domain) {
                continue;
            }
            let in_progress = members.iter().filter(|h| self.is_standby_pending(h));
            let room = MAX_CONCURRENT_PER_DOMAIN.saturating_sub(in_progress.count());
            let candidates = members.iter().copied().filter_map(|h| {
                let is_ordered = orders.iter().any(|o| o.host == h.id);
                let is_candidate = !is_ordered && self.needs_standby(h, directory, formation);
                let model = is_candidate.then(|| standby_model(h, models, formation));
                Some((h, model??))
            });
            let chosen: Vec<(&Host, &ModelProfile)> = candidates.take(room).collect();
            for (host, model) in chosen {
                let join = self.standby_join(host, model);
                orders.push(order_to(host, join));
            }
        }
    }

    /// Returns whether a group is a standby group: its only member is the head, joining or
    /// ready, its model has larger groups, and this manager did not form it to serve.
    fn is_standby_group(&self, view: &GroupView<'_>, profile: &EngineProfile) -> bool {
        let head = view.head().filter(|_| view.members.len() == 1);
        let state = head.and_then(|h| h.membership()).map(|m| m.state);
        let is_closed = matches!(state, Some(GroupState::Joining | GroupState::Ready));
        let model = view.model().and_then(|m| profile.model(m));
        self.standby
            && is_closed
            && !self.formed_groups.contains_key(&view.group)
            && model.is_none_or(|m| m.group_size > 1)
    }

    /// Returns whether a host is in a standby group or was ordered to join one.
    fn is_standby_pending(&self, host: &Host) -> bool {
        let order = self.pending_orders.get(&host.id).map(|p| &p.order);
        let is_join = order.is_some_and(|o| match o {
            OrderKind::Join { group, .. } => !self.formed_groups.contains_key(group),
            _ => false,
        });
        is_join || self.is_in_standby_group(host)
    }

    /// Returns whether a host has no group, has joined none before and loads no weights.
    fn needs_standby(&self, host: &Host, directory: &Directory, formation: &Formation<'_>) -> bool {
        host.membership().is_none()
            && self.last_model(host).is_none()
            && self.is_free(host, directory, formation.now)
            && !directory.is_domain_out(&host.failure_domain)
            && !self.may_be_loading(host, formation)
    }

    /// Returns whether a load may replace the staged weights of a host before it has joined.
    fn may_be_loading(&self, host: &Host, formation: &Formation<'_>) -> bool {
        let now = formation.now;
        let times = formation.profile.models.iter().map(|m| m.load_time);
        let longest_load = times.max().unwrap_or_default() * STAGING_TIMEOUT_FACTOR;
        // Loads that an earlier manager ordered are not known here.
        let has_earlier_orders = host.group.order_count() != Some(0);
        (has_earlier_orders && now.since(self.started_at) < longest_load)
            || host.group.hidden_work().has_ordered_load()
            || self.staging_model(host, formation.profile, now).is_some()
    }

    /// Collects the models of the groups in each fabric domain.
    fn models_by_domain(
        &self,
        views: &[GroupView<'_>],
        formation: &Formation<'_>,
    ) -> HashMap<Arc<str>, DomainModels> {
        let mut domains: HashMap<Arc<str>, DomainModels> = HashMap::default();
        let groups = views
            .iter()
            .filter(|v| !self.standby_groups.contains(&v.group));
        for view in groups {
            let first = view.members.values().next();
            let domain = first.and_then(|h| h.fabric_domain.clone());
            let (Some(domain), Some(model)) = (domain, self.model_index(view, formation)) else {
                continue;
            };
            let models = domains.entry(domain).or_default();
            let size = self.group_size(view, formation.profile);
            let is_complete = size == Some(view.members.len());
            let mut members = view.members.values();
            if !is_complete || !members.all(|h| self.is_alive(h, formation.now)) {
                models.lacking.push(model);
            } else if view.head().is_some_and(Host::is_open_head) {
                models.running.push(model);
            }
        }
        domains
    }

    /// Creates a group with a host as its only member and returns the order to join it.
    fn standby_join(&mut self, host: &Host, model: &ModelProfile) -> OrderKind {
        let (group, epoch) = self.new_group();
        OrderKind::Join {
            group,
            epoch,
            model: model.name.clone(),
            members: vec![host.id.clone()],
        }
    }
}

/// Returns the model that a host joins in advance, if it holds the weights of one that runs
/// in its fabric domain and of which no group needs the host now.
fn standby_model<'a>(
    host: &Host,
    models: &DomainModels,
    formation: &Formation<'a>,
) -> Option<&'a ModelProfile> {
    let is_wanted = |i: usize| models.running.contains(&i) && !models.lacking.contains(&i);
    let mut profiles = formation.profile.models.iter().enumerate();
    let fits = |i: usize, m: &ModelProfile| {
        let ends_in_time = m.warm_time * 2 <= STANDBY_TIMEOUT;
        m.group_size > 1 && ends_in_time && host.has_staged(&m.name) && is_wanted(i)
    };
    profiles.find(|(i, m)| fits(*i, m)).map(|(_, m)| m)
}
