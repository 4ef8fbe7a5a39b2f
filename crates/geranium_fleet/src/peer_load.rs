//! Requests that other entry hosts run at backend servers, as far as they say so.

use std::hash::Hash;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use crate::host::HostId;

/// Age at which a report counts no more.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Requests at each backend server.
pub type Running = Vec<(HostId, u32)>;

/// What was heard of the load that others cause, by the senders `K`.
#[derive(Debug)]
pub struct PeerLoads<K> {
    reports: HashMap<K, Report>,
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
        }
    }
}

impl<K: Eq + Hash> PeerLoads<K> {
    /// Takes in the load that an entry host reports of itself.
    pub fn note_report(&mut self, from: K, running: Running, now: Timestamp) {
        self.reports.insert(from, Report { at: now, running });
    }

    /// Returns the requests of all `others` at each backend server; those that were not
    /// heard lately are taken to be like the rest.
    pub fn of_others(&mut self, others: usize, now: Timestamp) -> HashMap<HostId, f64> {
        self.reports.retain(|_, r| now.since(r.at) < MAX_AGE);
        let heard = self.reports.len();
        let mut sums: HashMap<HostId, f64> = HashMap::default();
        for (id, running) in self.reports.values().flat_map(|r| &r.running) {
            *sums.entry(id.clone()).or_default() += f64::from(*running);
        }
        let factor = others as f64 / heard.max(1) as f64;
        if factor > 1.0 {
            sums.values_mut().for_each(|sum| *sum *= factor);
        }
        sums
    }
}
