//! Measurements of store calls, messages and propagation times of a simulated
//! fleet.

use std::fmt;
use std::time::Duration;

use geranium_core::record::StoredRecord;

use crate::fleet::{Fleet, drain};

/// Number of changes in the burst.
const BURST: usize = 100;

/// Interval between two changes of the burst.
const BURST_STEP: Duration = Duration::from_millis(10);

/// Message loss per thousand messages.
const LOST_PER_MILLE: u32 = 10;

/// Maximum wait for a change to come into force.
const LIMIT: Duration = Duration::from_secs(30);

/// Measurements of store calls, messages and propagation times of a fleet.
pub struct Figures {
    pub domains: usize,
    pub hosts: usize,
    pub idle_calls_per_second: f64,
    pub heartbeats_per_host_second: f64,
    pub burst_calls: u64,
    pub burst_pulls: u64,
    pub burst_pushed: u64,
    pub burst_settled: Duration,
    /// Time until a change is in force everywhere while one host is cut off from the
    /// store, sorted.
    pub one_cut: Vec<Duration>,
    /// Time until a change is in force everywhere with 1 % message loss, sorted.
    pub lossy: Vec<Duration>,
}

impl Figures {
    /// Measures a fleet through four phases: idle, a burst of changes, one host after
    /// another cut off from the store, and `changes` changes with message loss.
    pub fn measure(
        domains: usize,
        hosts: usize,
        idle: Duration,
        cuts: usize,
        changes: usize,
    ) -> Self {
        let mut fleet = Fleet::start(domains, hosts);
        fleet.run(Duration::from_secs(20));
        let (calls, heartbeats) = (fleet.store.calls, fleet.counts.heartbeats);
        fleet.run(idle);
        let per_second = |count: u64| count as f64 / idle.as_secs_f64();
        let idle_calls = per_second(fleet.store.calls - calls);
        let heartbeats = per_second(fleet.counts.heartbeats - heartbeats);
        let before = (fleet.store.calls, fleet.counts);
        let settled = burst(&mut fleet);
        let after = (fleet.store.calls, fleet.counts);
        fleet.run(Duration::from_secs(10));
        Self {
            domains,
            hosts,
            idle_calls_per_second: idle_calls,
            heartbeats_per_host_second: heartbeats / (domains * hosts) as f64,
            burst_calls: after.0 - before.0,
            burst_pulls: after.1.pulls - before.1.pulls,
            burst_pushed: after.1.pushed_records - before.1.pushed_records,
            burst_settled: settled,
            one_cut: one_cut(&mut fleet, domains, hosts, cuts),
            lossy: lossy(&mut fleet, domains, hosts, changes),
        }
    }
}

/// Makes a burst of changes; returns the time from the last change until all are in
/// force everywhere.
fn burst(fleet: &mut Fleet) -> Duration {
    let domains = fleet.domains();
    let change = |fleet: &mut Fleet, i: usize| {
        let record = fleet.apply(i % domains, 0, drain(&format!("r{i}"), i));
        fleet.run(BURST_STEP);
        record
    };
    let records: Vec<StoredRecord> = (0..BURST).map(|i| change(fleet, i)).collect();
    let took = fleet.run_while(LIMIT, |f| records.iter().all(|r| f.is_everywhere(r)));
    took + BURST_STEP
}

fn one_cut(fleet: &mut Fleet, domains: usize, hosts: usize, cuts: usize) -> Vec<Duration> {
    let mut times = Vec::new();
    for i in 0..cuts {
        let (domain, host) = (i % domains, i % hosts);
        fleet.cut_host_from_store(domain, host, true);
        fleet.run(Duration::from_secs(3));
        let record = fleet.apply((i + 1) % domains, 0, drain("cut", i));
        times.push(fleet.run_while(LIMIT, |f| f.is_everywhere(&record)));
        fleet.cut_host_from_store(domain, host, false);
        fleet.run(Duration::from_secs(20));
    }
    times.sort();
    times
}

fn lossy(fleet: &mut Fleet, domains: usize, hosts: usize, changes: usize) -> Vec<Duration> {
    fleet.lost_per_mille = LOST_PER_MILLE;
    let mut times = Vec::new();
    for i in 0..changes {
        let record = fleet.apply(i % domains, (i / domains) % hosts, drain("lossy", i));
        times.push(fleet.run_while(LIMIT, |f| f.is_everywhere(&record)));
        fleet.run(Duration::from_millis(700));
    }
    times.sort();
    times
}

/// Returns the given percentile of sorted times.
fn percentile(times: &[Duration], percent: usize) -> Duration {
    let rank = (times.len() * percent).div_ceil(100).max(1);
    times[rank - 1]
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (median, longest) = (
            percentile(&self.one_cut, 50),
            percentile(&self.one_cut, 100),
        );
        write!(
            f,
            "{} domains x {} hosts: idle {:.3} store calls/s, {:.1} heartbeats/s per host; \
             burst of {BURST}: {} store calls, {} pulls, {} records pushed, \
             in force {:?} after the last change; one host cut off: median {median:?}, \
             longest {longest:?}; {} changes with 1% message loss: median {:?}, p99 {:?}, \
             longest {:?}",
            self.domains,
            self.hosts,
            self.idle_calls_per_second,
            self.heartbeats_per_host_second,
            self.burst_calls,
            self.burst_pulls,
            self.burst_pushed,
            self.burst_settled,
            self.lossy.len(),
            percentile(&self.lossy, 50),
            percentile(&self.lossy, 99),
            percentile(&self.lossy, 100),
        )
    }
}
