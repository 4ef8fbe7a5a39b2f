//! Requests that other entry hosts run at backend servers, as far as they say so.
//!
//! Few entry hosts report to each other. Where there are many, all report to a few
//! collectors, which tell the rest the sum: the cost of a report does not grow with the
//! number of entry hosts, and nobody has to guess from a part of them.

use std::hash::Hash;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::host::HostId;

/// Age at which a report counts no more.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Requests at each backend server.
pub type Running = Vec<(HostId, u32)>;

/// Requests of several entry hosts at each backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Entry hosts that the sum is of.
    pub entry_hosts: usize,
    /// Their requests.
    pub running: Running,
}

/// What was heard of the load that others cause, by the senders `K`.
#[derive(Debug)]
pub struct PeerLoads<K> {
    reports: HashMap<K, Report>,
    sum: Option<(Timestamp, LoadSum)>,
}

#[derive(Debug)]
struct Report {
    at: Timestamp,
    running: Running,
}

impl<K> Default for PeerLoads<K> {
    fn default() -> Self {
        Self {
            reports: HashMap::default(),
            sum: None,
        }
    }
}

impl<K: Eq + Hash> PeerLoads<K> {
    /// Takes in the load that an entry host reports of itself.
    pub fn note_report(&mut self, from: K, running: Running, now: Timestamp) {
        self.reports.insert(from, Report { at: now, running });
    }

    /// Takes in the sum that a collector made of the reports of other entry hosts.
    pub fn note_sum(&mut self, sum: LoadSum, now: Timestamp) {
        self.sum = Some((now, sum));
    }

    /// Returns the sum of what was heard lately of all but one entry host, and of the
    /// collector's own requests.
    pub fn sum_without(&mut self, receiver: &K, own: &Running, now: Timestamp) -> LoadSum {
        self.forget_old(now);
        let others = self.reports.iter().filter(|(from, _)| *from != receiver);
        let others: Vec<&Running> = others.map(|(_, r)| &r.running).collect();
        let sums = add_up(others.iter().copied().chain([own]));
        LoadSum {
            entry_hosts: others.len() + 1,
            running: sums.into_iter().map(|(id, n)| (id.clone(), n)).collect(),
        }
    }

    /// Returns the requests of the others at each backend server. Who was not heard lately
    /// has ended or is cut off, and counts nothing.
    pub fn of_others(&mut self, now: Timestamp) -> HashMap<HostId, f64> {
        self.forget_old(now);
        let heard = self.reports.len();
        let sums = match &self.sum {
            Some((_, sum)) if sum.entry_hosts > heard => add_up([&sum.running]),
            _ => add_up(self.reports.values().map(|r| &r.running)),
        };
        let sums = sums.into_iter();
        sums.map(|(id, n)| (id.clone(), f64::from(n))).collect()
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.reports.retain(|_, r| now.since(r.at) < MAX_AGE);
        self.sum.take_if(|(at, _)| now.since(*at) >= MAX_AGE);
    }
}

/// Adds up requests by backend server.
fn add_up<'a>(loads: impl IntoIterator<Item = &'a Running>) -> HashMap<&'a HostId, u32> {
    let mut sums = HashMap::default();
    for (id, running) in loads.into_iter().flatten() {
        *sums.entry(id).or_default() += running;
    }
    sums
}
