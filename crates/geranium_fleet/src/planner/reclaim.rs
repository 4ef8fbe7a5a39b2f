//! Reclaims hosts from groups of a model that has more than its share.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::time::Timestamp;

use super::formation::{Formation, MUST_LOAD};
use super::view::{GroupView, by_domain};
use super::{GroupPlanner, order_to};
use crate::directory::Directory;
use crate::engine_profile::ModelProfile;
use crate::host::{GroupState, Host};
use crate::order::HostOrder;

/// Minimum deficit of a model, as a fraction of a group, before hosts are reclaimed for it
/// or change their weights for it.
pub(super) const MIN_DEFICIT_OF_GROUP: f64 = 0.6;
/// Minimum deficit of a model, as a fraction of its share, before hosts are reclaimed for
/// it, as each move takes its hosts out of service for seconds.
const MIN_RELATIVE_DEFICIT: f64 = 0.15;
/// Maximum relative deficit of the donor model after the move, as a fraction of the
/// relative deficit of the receiving model before it.
pub(super) const MAX_DONOR_DEFICIT_RATIO: f64 = 0.5;
/// Time after which a fabric domain whose reclaim yielded no group becomes available again.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of fabric domains that are rearranged at the same time.
const MAX_CONCURRENT_RECLAIMS: usize = 2;

/// A fabric domain whose free hosts are reserved until they make up a group with others.
#[derive(Clone, Debug)]
pub(super) struct Reclaim {
    /// Model of the group to be formed.
    pub(super) model: Arc<str>,
    /// Groups that give up their hosts.
    pub(super) groups: Vec<Arc<str>>,
    /// When the reclaim began.
    pub(super) at: Timestamp,
}

/// A fabric domain that could make up a group, with the groups to close for it.
pub(super) struct Candidate {
    domain: Arc<str>,
    groups: Vec<Arc<str>>,
    hosts_taken: f64,
}

impl GroupPlanner {
    /// Closes groups of a model with more than its share where their hosts, together with
    /// free hosts of the same fabric domain, make up a group of the model with the largest
    /// deficit.
    pub(super) fn reclaim(
        &mut self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        directory: &Directory,
        formation: &Formation<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let now = formation.now;
        self.reclaims
            .retain(|_, r| now.since(r.at) < RECLAIM_TIMEOUT);
        if !formation.has_traffic || self.reclaims.len() >= MAX_CONCURRENT_RECLAIMS {
            return;
        }
        let Some((receiver, relative_deficit)) = self.largest_deficit(formation) else {
            return;
        };
        let model = &formation.profile.models[receiver];
        let mut best: Option<Candidate> = None;
        for (domain, members) in by_domain(hosts) {
            let is_out = members
                .iter()
                .any(|h| directory.is_domain_out(&h.failure_domain));
            if is_out || self.reclaims.contains_key(domain) {
                continue;
            }
            let free: Vec<&Host> = members
                .iter()
                .copied()
                // A host in a standby group is free in less time than groups take to close.
                .filter(|h| self.is_free(h, directory, now) || self.is_awaited_standby(h, now))
                .collect();
            let missing = model
                .group_size
                .saturating_sub(self.count_prepared(&free, model));
            if missing == 0 {
                continue;
            }
            let found =
                self.find_donors(domain, views, missing, model, relative_deficit, formation);
            if let Some(found) = found
                && best
                    .as_ref()
                    .is_none_or(|b| found.hosts_taken < b.hosts_taken)
            {
                best = Some(found);
            }
        }
        let Some(candidate) = best else {
            return;
        };
        for view in views.iter().filter(|v| candidate.groups.contains(&v.group)) {
            if let Some(head) = view.head() {
                orders.push(order_to(head, view.close_order()));
            }
        }
        let reclaim = Reclaim {
            model: model.name.clone(),
            groups: candidate.groups,
            at: now,
        };
        self.reclaims.insert(candidate.domain, reclaim);
    }

    /// Returns the model with the largest relative deficit, and that deficit.
    pub(super) fn largest_deficit(&self, formation: &Formation<'_>) -> Option<(usize, f64)> {
        let models = formation.profile.models.iter().enumerate();
        let in_deficit = models
            .filter(|(i, m)| formation.deficits[*i] >= MIN_DEFICIT_OF_GROUP * m.group_size as f64);
        // Reclaims in progress count as completed.
        let in_deficit = in_deficit.filter(|(i, m)| {
            let expected_groups = self.reclaims.values().filter(|r| r.model == m.name).count();
            formation.deficits[*i] - (expected_groups * m.group_size) as f64
                >= MIN_DEFICIT_OF_GROUP * m.group_size as f64
        });
        let relative = in_deficit.map(|(i, _)| (i, formation.relative_deficit(i, 0.0)));
        let large = relative.filter(|(_, deficit)| *deficit >= MIN_RELATIVE_DEFICIT);
        large.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the groups of a fabric domain that can give up the missing hosts.
    pub(super) fn find_donors(
        &self,
        domain: &Arc<str>,
        views: &[GroupView<'_>],
        missing: usize,
        model: &ModelProfile,
        relative_deficit: f64,
        formation: &Formation<'_>,
    ) -> Option<Candidate> {
        let mut candidate = Candidate {
            domain: domain.clone(),
            groups: Vec::new(),
            hosts_taken: 0.0,
        };
        let mut found = 0;
        let mut taken = vec![0.0; formation.profile.models.len()];
        for view in views {
            if found >= missing {
                break;
            }
            let Some(head) = view
                .head()
                .filter(|h| h.fabric_domain.as_ref() == Some(domain))
            else {
                continue;
            };
            let open = head
                .membership()
                .is_some_and(|m| m.state == GroupState::Open);
            let donor = self.model_index(view, formation);
            let Some(donor) =
                donor.filter(|g| open && formation.profile.models[*g].name != model.name)
            else {
                continue;
            };
            let size = view.members.len() as f64;
            if formation.relative_deficit(donor, taken[donor] + size)
                >= relative_deficit * MAX_DONOR_DEFICIT_RATIO
            {
                continue;
            }
            let usable = view
                .members
                .values()
                .filter(|h| self.readiness(h, model) < MUST_LOAD)
                .count();
            if usable == 0 || self.is_busy(head, formation.now) {
                continue;
            }
            found += usable;
            taken[donor] += size;
            candidate.hosts_taken += size;
            candidate.groups.push(view.group.clone());
        }
        (found >= missing).then_some(candidate)
    }
}
