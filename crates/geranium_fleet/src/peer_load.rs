//! Requests that other entry hosts run at backend servers, and what their callers ask for, according
//! to their reports.
//!
//! A few entry hosts report to each other directly. If there are many, those of a failure
//! domain report to its leaders. The leaders send each other the sums of their failure
//! domains and send the total to the rest, so that the cost of a report does not grow with
//! the number of entry hosts, and nobody has to extrapolate from a part of them.

use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::demand::DemandSum;
use crate::host::HostId;

/// Age at which a report no longer counts.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Number of requests at each backend server.
pub type RunningRequests = Vec<(HostId, u32)>;

/// Sum of the requests of several entry hosts at each backend server, and of what their callers
/// ask for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Number of entry hosts included in the sum.
    pub entry_hosts: usize,
    /// Requests of these entry hosts.
    pub running: RunningRequests,
    /// Demand at those of them that report it; older versions do not.
    #[serde(default)]
    pub demand: DemandSum,
}

impl LoadSum {
    /// Creates the load of one entry host.
    #[must_use]
    pub const fn single(running: RunningRequests, demand: DemandSum) -> Self {
        Self {
            entry_hosts: 1,
            running,
            demand,
        }
    }

    /// Adds up the requests and the demand of a number of entry hosts.
    fn of<'a>(
        loads: impl IntoIterator<Item = &'a RunningRequests>,
        demands: impl IntoIterator<Item = &'a DemandSum>,
        entry_hosts: usize,
    ) -> Self {
        let sums = sum_by_host(loads).into_iter();
        Self {
            entry_hosts,
            running: sums.map(|(id, n)| (id.clone(), n)).collect(),
            demand: DemandSum::of(demands),
        }
    }
}

/// Load reports of other entry hosts, identified by `K`.
#[derive(Debug)]
pub struct PeerLoads<K> {
    reports: HashMap<K, Report>,
    demands: HashMap<K, (Timestamp, DemandSum)>,
    domains: HashMap<Arc<str>, (Timestamp, LoadSum)>,
    sum: Option<(Timestamp, LoadSum)>,
}

#[derive(Debug)]
struct Report {
    at: Timestamp,
    running: RunningRequests,
}

impl<K> Default for PeerLoads<K> {
    fn default() -> Self {
        Self {
            reports: HashMap::default(),
            demands: HashMap::default(),
            domains: HashMap::default(),
            sum: None,
        }
    }
}

impl<K: Eq + Hash> PeerLoads<K> {
    /// Records the load that an entry host reports about itself.
    pub fn record_report(&mut self, from: K, running: RunningRequests, now: Timestamp) {
        self.reports.insert(from, Report { at: now, running });
    }

    /// Records what the callers of an entry host ask for, as it reports about itself.
    pub fn record_demand(&mut self, from: K, demand: DemandSum, now: Timestamp) {
        self.demands.insert(from, (now, demand));
    }

    /// Records the sum of another failure domain.
    pub fn record_domain_sum(&mut self, domain: Arc<str>, sum: LoadSum, now: Timestamp) {
        self.domains.insert(domain, (now, sum));
    }

    /// Records the sum of all other entry hosts.
    pub fn record_overall_sum(&mut self, sum: LoadSum, now: Timestamp) {
        self.sum = Some((now, sum));
    }

    /// Returns the sum of the local failure domain, including this entry host's load `own`.
    pub fn domain_sum(&mut self, own: &LoadSum, now: Timestamp) -> LoadSum {
        self.prune_expired(now);
        let reports = self.reports.values().map(|r| &r.running);
        let demands = self.demands.values().map(|(_, d)| d);
        LoadSum::of(
            reports.chain([&own.running]),
            demands.chain([&own.demand]),
            self.reports.len() + 1,
        )
    }

    /// Returns the sum of all recent reports and domain sums except the report of `receiver`,
    /// including this entry host's load `own`.
    pub fn sum_excluding(&mut self, receiver: &K, own: &LoadSum, now: Timestamp) -> LoadSum {
        self.prune_expired(now);
        let others = self.reports.iter().filter(|(from, _)| *from != receiver);
        let others: Vec<&RunningRequests> = others.map(|(_, r)| &r.running).collect();
        let demands = self.demands.iter().filter(|(from, _)| *from != receiver);
        let demands = demands.map(|(_, (_, d))| d).chain([&own.demand]);
        let elsewhere = self.entry_hosts_in_other_domains();
        let entry_hosts = elsewhere.saturating_add(others.len() + 1);
        let domains = self.other_domains();
        LoadSum::of(
            others
                .into_iter()
                .chain([&own.running])
                .chain(domains.map(|sum| &sum.running)),
            demands.chain(self.other_domains().map(|sum| &sum.demand)),
            entry_hosts,
        )
    }

    /// Returns the requests of the other entry hosts at each backend server. An entry host
    /// without a recent report has stopped or is cut off, and does not count.
    pub fn peer_requests(&mut self, now: Timestamp) -> HashMap<HostId, f64> {
        self.prune_expired(now);
        let sums = match self.sum_of_leader() {
            Some(sum) => sum_by_host([&sum.running]),
            None => {
                let reports = self.reports.values().map(|r| &r.running);
                sum_by_host(reports.chain(self.other_domains().map(|sum| &sum.running)))
            }
        };
        let sums = sums.into_iter();
        sums.map(|(id, n)| (id.clone(), f64::from(n))).collect()
    }

    /// Returns what the callers of the other entry hosts ask for, as far as these report it.
    pub fn peer_demand(&mut self, now: Timestamp) -> DemandSum {
        self.prune_expired(now);
        if let Some(sum) = self.sum_of_leader() {
            return sum.demand.clone();
        }
        let demands = self.demands.values().map(|(_, d)| d);
        DemandSum::of(demands.chain(self.other_domains().map(|sum| &sum.demand)))
    }

    /// Returns the sum that a leader sent, if it includes more entry hosts than are known
    /// directly.
    fn sum_of_leader(&self) -> Option<&LoadSum> {
        let elsewhere = self.entry_hosts_in_other_domains();
        let directly_known = elsewhere.saturating_add(self.reports.len());
        let sum = self.sum.as_ref().map(|(_, sum)| sum);
        sum.filter(|sum| sum.entry_hosts > directly_known)
    }

    /// Returns the sums of other failure domains.
    fn other_domains(&self) -> impl Iterator<Item = &LoadSum> {
        self.domains.values().map(|(_, sum)| sum)
    }

    fn entry_hosts_in_other_domains(&self) -> usize {
        let counts = self.other_domains().map(|sum| sum.entry_hosts);
        counts.fold(0, usize::saturating_add)
    }

    fn prune_expired(&mut self, now: Timestamp) {
        self.reports.retain(|_, r| now.since(r.at) < MAX_AGE);
        self.demands.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        self.domains.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        self.sum.take_if(|(at, _)| now.since(*at) >= MAX_AGE);
    }
}

/// Adds up requests by backend server; a sum too large for the type becomes its maximum.
fn sum_by_host<'a>(
    loads: impl IntoIterator<Item = &'a RunningRequests>,
) -> HashMap<&'a HostId, u32> {
    let mut sums = HashMap::default();
    for (id, running) in loads.into_iter().flatten() {
        let sum: &mut u32 = sums.entry(id).or_default();
        *sum = sum.saturating_add(*running);
    }
    sums
}
