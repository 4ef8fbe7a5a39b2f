//! Smoothed shares of the models.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::ModelDemand;
use crate::admission::{MAX_RESERVE_PERCENT, PRIORITY_RESERVE_PERCENT};
use crate::engine_profile::EngineProfile;

/// Time constant of the smoothing. It is of the order of the time for which the requests at a group
/// that has stopped still count, and groups would follow waves of few seconds if it were shorter.
const SMOOTHING_TIME: Duration = Duration::from_secs(6);
/// Maximum change of a share per second, as a fraction of the whole.
const MAX_CHANGE_PER_S: f64 = 0.1;
/// Longest time between two updates that counts, so that a manager that was suspended does not
/// change the shares at once.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the hosts that follows the operator's initial shares always, so that the shares of
/// an idle system do not follow single requests.
const INITIAL_SHARES_FRACTION: f64 = 0.05;

/// Shares of the models of a service; lists are in the order of the profile's models.
///
/// The shares begin at the operator's initial ones and follow the hosts that the models need. Until
/// there is any demand, the models need their initial shares of the hosts known by then.
#[derive(Clone, Debug)]
pub struct DemandShares {
    hosts_needed: Vec<f64>,
    /// Number of priorities that are higher than those of a model's requests.
    higher_priorities: Vec<u32>,
    has_demand: bool,
    /// Whether the first complete demand replaces the initial shares at once.
    is_taking_over: bool,
    shares: Vec<f64>,
    updated_at: Timestamp,
}

impl DemandShares {
    /// Creates the initial shares for a service with a number of hosts.
    #[must_use]
    pub fn new(profile: &EngineProfile, hosts: usize, now: Timestamp) -> Self {
        let shares = initial_shares(profile);
        Self {
            hosts_needed: hosts_by_share(&shares, hosts),
            higher_priorities: vec![0; shares.len()],
            has_demand: false,
            is_taking_over: false,
            shares,
            updated_at: now,
        }
    }

    /// Creates the shares of a manager that takes over a service with groups that serve.
    ///
    /// The first demand that is known for all models gives the shares at once, so that no hosts move
    /// towards the initial shares and back.
    #[must_use]
    pub fn take_over(profile: &EngineProfile, hosts: usize, now: Timestamp) -> Self {
        Self {
            is_taking_over: true,
            ..Self::new(profile, hosts, now)
        }
    }

    /// Updates the shares by the demand for each model; `None` keeps what the model needed last, and
    /// all stays while no host is known.
    ///
    /// Starts again from the initial shares if the number of models has changed.
    pub fn update(
        &mut self,
        profile: &EngineProfile,
        demands: &[Option<ModelDemand>],
        hosts: usize,
        now: Timestamp,
    ) {
        if self.shares.len() != profile.models.len() {
            *self = Self::new(profile, hosts, now);
        }
        let elapsed = now.since(self.updated_at).min(MAX_INTERVAL).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        if hosts == 0 {
            return;
        }
        let is_demand = |d: &ModelDemand| d.arrivals_per_s > 0.0;
        self.has_demand |= demands.iter().flatten().any(is_demand);
        for (known, demand) in self.higher_priorities.iter_mut().zip(demands) {
            *known = demand.map_or(*known, |d| d.higher_priorities);
        }
        if !self.has_demand {
            self.hosts_needed = hosts_by_share(&initial_shares(profile), hosts);
        } else if let Some(needed) = self.first_needs(demands) {
            self.is_taking_over = false;
            self.hosts_needed = needed;
            self.shares = self.wanted_shares(profile, hosts);
        } else {
            self.follow(demands, elapsed);
        }
        let wanted = self.wanted_shares(profile, hosts);
        self.approach(&wanted, MAX_CHANGE_PER_S * elapsed);
    }

    /// Returns the needed hosts that replace the initial ones, if this manager is taking over and
    /// the demand for all models is known.
    fn first_needs(&self, demands: &[Option<ModelDemand>]) -> Option<Vec<f64>> {
        let needed = |d: &Option<ModelDemand>| d.map(|d| d.hosts_needed).filter(|n| n.is_finite());
        let needs: Option<Vec<f64>> = demands.iter().map(needed).collect();
        needs.filter(|n| self.is_taking_over && n.len() == self.shares.len())
    }

    /// Moves the needed hosts towards the observed ones, `elapsed` seconds after the last time.
    fn follow(&mut self, demands: &[Option<ModelDemand>], elapsed: f64) {
        let weight = 1.0 - (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp();
        for (needed, demand) in self.hosts_needed.iter_mut().zip(demands) {
            let observed = demand.map(|d| d.hosts_needed).filter(|n| n.is_finite());
            *needed += (observed.unwrap_or(*needed) - *needed) * weight;
        }
    }

    /// Returns the shares that the needed hosts would give, without the limit on changes.
    fn wanted_shares(&self, profile: &EngineProfile, hosts: usize) -> Vec<f64> {
        let reserve = hosts as f64 * INITIAL_SHARES_FRACTION;
        let initial = initial_shares(profile);
        let granted = self.granted_hosts(hosts);
        let weights = granted.iter().zip(&initial);
        let weights = weights.map(|(needed, share)| needed + reserve * share);
        let shares = normalize(weights.collect());
        // A model without a group shows no demand, so each keeps at least one.
        let sizes = profile.models.iter().map(|m| m.group_size);
        let hosts = hosts.max(sizes.clone().sum()).max(1) as f64;
        let shares = shares.into_iter().zip(sizes);
        normalize(shares.map(|(s, size)| s.max(size as f64 / hosts)).collect())
    }

    /// Returns the hosts that each model is to have of those it needs. Where there are too few, a
    /// model leaves some for those with requests of higher priorities, as a request does at a group,
    /// but all models together no more than is lacking.
    fn granted_hosts(&self, hosts: usize) -> Vec<f64> {
        let lacking = self.hosts_needed.iter().sum::<f64>() - hosts as f64;
        let left: Vec<f64> = self.hosts_left_to_others().collect();
        let total_left: f64 = left.iter().sum();
        if lacking <= 0.0 || total_left <= 0.0 {
            return self.hosts_needed.clone();
        }
        let fraction = (lacking / total_left).min(1.0);
        let needed = self.hosts_needed.iter().zip(left);
        needed
            .map(|(needed, left)| needed - left * fraction)
            .collect()
    }

    /// Returns the hosts that each model leaves at most for those with requests of higher priorities.
    fn hosts_left_to_others(&self) -> impl Iterator<Item = f64> {
        let needed = self.hosts_needed.iter().zip(&self.higher_priorities);
        needed.map(|(needed, higher)| {
            let percent = (higher * PRIORITY_RESERVE_PERCENT).min(MAX_RESERVE_PERCENT);
            needed * f64::from(percent) / 100.0
        })
    }

    /// Moves all shares towards `wanted`, each by `limit` at most; their sum stays 1.
    fn approach(&mut self, wanted: &[f64], limit: f64) {
        let changes = self.shares.iter().zip(wanted).map(|(s, w)| (w - s).abs());
        let largest = changes.fold(0.0, f64::max);
        let fraction = if largest > limit {
            limit / largest
        } else {
            1.0
        };
        for (share, wanted) in self.shares.iter_mut().zip(wanted) {
            *share += (wanted - *share) * fraction;
        }
    }

    /// Returns each model's share of the hosts; their sum is 1.
    #[must_use]
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// Returns the number of hosts that each model needs, smoothed.
    #[must_use]
    pub fn hosts_needed(&self) -> &[f64] {
        &self.hosts_needed
    }
}

/// Returns the number of hosts that make up each share.
fn hosts_by_share(shares: &[f64], hosts: usize) -> Vec<f64> {
    shares.iter().map(|s| s * hosts as f64).collect()
}

fn initial_shares(profile: &EngineProfile) -> Vec<f64> {
    normalize(profile.models.iter().map(|m| m.initial_share).collect())
}

/// Scales weights to a sum of 1; equal ones if they have no usable sum.
fn normalize(weights: Vec<f64>) -> Vec<f64> {
    let usable = |w: &f64| w.is_finite() && *w >= 0.0;
    let total: f64 = weights.iter().filter(|w| usable(w)).sum();
    let equal = 1.0 / weights.len().max(1) as f64;
    let scale = |w: f64| if usable(&w) { w / total } else { 0.0 };
    let shares = weights.into_iter();
    shares
        .map(|w| {
            if total > 0.0 && total.is_finite() {
                scale(w)
            } else {
                equal
            }
        })
        .collect()
}
