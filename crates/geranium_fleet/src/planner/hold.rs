//! Keeps the free hosts of a fabric domain for a model far below its share.
//!
//! The surviving members of a large group hold the weights of the small model. A small group
//! would take them at once, although a host that will soon be free or has nearly loaded its
//! weights would make up the large group again.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;

use super::formation::{Formation, MUST_LOAD};
use super::reclaim::{MAX_DONOR_DEFICIT_RATIO, MIN_DEFICIT_OF_GROUP};
use super::view::{GroupView, by_domain};
use super::{GroupPlanner, guard};
use crate::directory::Directory;
use crate::engine_profile::ModelProfile;
use crate::host::{GroupState, Host};
use crate::order::OrderKind;

/// Maximum time for which the free hosts of a fabric domain are kept. An expected host may be
/// lost, and the others must not stay idle for it.
const HOLD_TIMEOUT: Duration = Duration::from_secs(6);

/// Fabric domains whose free hosts go only to a model far below its share.
#[derive(Debug, Default)]
pub(super) struct HeldDomains {
    domains: HashSet<Arc<str>>,
    /// Relative deficit below which a model gets no hosts of these fabric domains.
    min_relative_deficit: f64,
}

impl HeldDomains {
    /// Returns whether a model may use free hosts of a fabric domain.
    pub(super) fn allow(&self, domain: &Arc<str>, model: usize, formation: &Formation<'_>) -> bool {
        let size = formation.profile.models[model].group_size as f64;
        let lacks_group = formation.deficits[model] >= MIN_DEFICIT_OF_GROUP * size
            && formation.relative_deficit(model, 0.0) >= self.min_relative_deficit;
        lacks_group || !self.domains.contains(domain)
    }
}

impl GroupPlanner {
    /// Returns the fabric domains whose free hosts are to be kept for the model with the largest
    /// deficit: no more of them than it lacks groups, and those that lack the fewest hosts
    /// first.
    pub(super) fn hold_domains(
        &mut self,
        hosts: &[&Host],
        views: &[GroupView<'_>],
        directory: &Directory,
        formation: &Formation<'_>,
    ) -> HeldDomains {
        let largest = self.largest_deficit(formation);
        let Some((receiver, relative_deficit)) =
            largest.filter(|_| self.favours_deficits && formation.has_traffic)
        else {
            self.holds.clear();
            return HeldDomains::default();
        };
        let mut waiting: Vec<(usize, &Arc<str>)> = by_domain(hosts)
            .into_iter()
            .filter(|(_, members)| !members.iter().any(|h| is_out(h, directory)))
            .filter_map(|(domain, members)| {
                let missing = self.awaited_hosts(
                    (domain, &members),
                    views,
                    directory,
                    (receiver, relative_deficit),
                    formation,
                )?;
                Some((missing, domain))
            })
            .collect();
        waiting.sort();
        waiting.truncate(self.lacking_groups(receiver, formation));
        self.update_holds(&waiting, formation.now);
        HeldDomains {
            domains: self.current_holds(formation.now),
            min_relative_deficit: relative_deficit * MAX_DONOR_DEFICIT_RATIO,
        }
    }

    /// Returns how many hosts a fabric domain lacks for a group of the receiving model, if they
    /// are expected to become available soon.
    fn awaited_hosts(
        &self,
        (domain, members): (&Arc<str>, &[&Host]),
        views: &[GroupView<'_>],
        directory: &Directory,
        (receiver, relative_deficit): (usize, f64),
        formation: &Formation<'_>,
    ) -> Option<usize> {
        if self.reclaims.contains_key(domain) {
            return None;
        }
        let model = &formation.profile.models[receiver];
        let (free, others): (Vec<&Host>, Vec<&Host>) = members
            .iter()
            .partition(|h| self.is_free(h, directory, formation.now));
        let prepared = self.count_prepared(&free, model);
        let missing = model.group_size.saturating_sub(prepared);
        if missing == 0 || missing == model.group_size {
            return None;
        }
        let expected = self.count_expected(&free, &others, directory, model, formation);
        // Only the limit on concurrent reclaims keeps these donors from giving up hosts now.
        let has_donors = || {
            self.find_donors(domain, views, missing, model, relative_deficit, formation)
                .is_some()
        };
        (expected >= missing || has_donors()).then_some(missing)
    }

    /// Returns how many groups a model lacks besides those that reclaims in progress complete.
    fn lacking_groups(&self, model: usize, formation: &Formation<'_>) -> usize {
        let profile = &formation.profile.models[model];
        let lacking = formation.deficits[model] / profile.group_size as f64;
        let reclaims = self.reclaims.values();
        let reclaimed = reclaims.filter(|r| r.model == profile.name).count();
        (lacking.ceil().max(0.0) as usize).saturating_sub(reclaimed)
    }

    /// Records since when the fabric domains have been waiting for hosts.
    fn update_holds(&mut self, waiting: &[(usize, &Arc<str>)], now: Timestamp) {
        // A reclaim does not restart the time for which hosts are kept.
        let reclaims = &self.reclaims;
        self.holds
            .retain(|d, _| reclaims.contains_key(d) || waiting.iter().any(|(_, w)| *w == d));
        for (_, domain) in waiting {
            self.holds.entry((*domain).clone()).or_insert(now);
        }
    }

    /// Returns the fabric domains whose free hosts are kept now.
    fn current_holds(&self, now: Timestamp) -> HashSet<Arc<str>> {
        let is_recent = |at: &Timestamp| now.since(*at) < HOLD_TIMEOUT;
        let held = self
            .holds
            .iter()
            .filter(|(d, at)| is_recent(at) && !self.reclaims.contains_key(*d));
        held.map(|(domain, _)| domain.clone()).collect()
    }

    /// Counts the hosts that will soon be able to join a group of a model: free ones that load
    /// its weights, and prepared ones whose group has ended.
    fn count_expected(
        &self,
        free: &[&Host],
        others: &[&Host],
        directory: &Directory,
        model: &ModelProfile,
        formation: &Formation<'_>,
    ) -> usize {
        let now = formation.now;
        let is_loading = |h: &&&Host| {
            self.readiness(h, model) == MUST_LOAD
                && self.staging_model(h, formation.profile, now) == Some(&model.name)
        };
        let is_leaving = |h: &&&Host| {
            self.readiness(h, model) < MUST_LOAD && self.is_leaving_group(h, directory, now)
        };
        free.iter().filter(is_loading).count() + others.iter().filter(is_leaving).count()
    }

    /// Returns whether a host that is not free has left its group or is a member of one whose
    /// head no longer serves.
    fn is_leaving_group(&self, host: &Host, directory: &Directory, now: Timestamp) -> bool {
        let pending = self.pending_orders.get(&host.id);
        if !self.is_alive(host, now)
            || pending.is_some_and(|p| matches!(p.order, OrderKind::Join { .. }))
        {
            return false;
        }
        let Some(membership) = host.membership() else {
            return true;
        };
        let head = self.group_heads.get(&membership.group);
        let head = head.and_then(|s| directory.get(&s.host));
        let Some(head) = head.filter(|h| !self.is_dead(h, now)) else {
            return true;
        };
        let state = head.group_state();
        matches!(state, Some(GroupState::Closing | GroupState::Broken))
            || guard::is_group_over(&membership.group, head.membership())
    }
}

fn is_out(host: &Host, directory: &Directory) -> bool {
    directory.is_domain_out(&host.failure_domain)
}
