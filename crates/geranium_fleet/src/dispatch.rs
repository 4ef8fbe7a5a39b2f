//! Selects the backend server for a request.

mod candidate_counts;
mod choice;
mod cold_limit;
mod criteria;
mod host_check;
mod host_stats;
mod no_host;
mod own_registration;
mod pause;
mod sender_ranking;
mod spreading;

use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::directory::Directory;
use crate::host::{Host, HostId};
use crate::server_limit::ServerLimits;

use host_check::HostCheck;
use host_stats::HostStats;
use pause::Pause;
use spreading::pick_below_level;

pub use candidate_counts::CandidateCounts;
pub use choice::Choice;
pub use cold_limit::ColdLimit;
pub use criteria::DispatchCriteria;
pub use no_host::NoHost;
pub use sender_ranking::{REGISTRATION_LEASE, SenderRanking};

/// How long a backend server that failed or stopped responding gets no new work while
/// others can take it.
const SUSPICION_PERIOD: Duration = Duration::from_millis(2_500);
/// Extra load, in requests, of a backend server in another failure domain.
const REMOTE_DOMAIN_PENALTY: f64 = 0.35;
/// Extra load, in requests, of a backend server that shares a fabric domain with one that
/// the request was sent to before, as a whole fabric domain may fail at once.
const SHARED_FABRIC_PENALTY: f64 = 12.0;
/// Extra load, in requests, of a cold backend server.
const COLD_PENALTY: f64 = 6.0;
/// Maximum load above the least loaded backend server at which another one is a candidate.
const CANDIDATE_MARGIN: f64 = 9.0;
/// Weight of a new sample in the moving averages of failures and times.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Extra load, in requests, at a failure rate of 1.
const FAILURE_PENALTY: f64 = 12.0;

/// Selects backend servers by load, distance and recent outcomes.
#[derive(Debug)]
pub struct Dispatcher {
    failure_domain: Arc<str>,
    senders: SenderRanking,
    stats: HashMap<HostId, HostStats>,
    limits: ServerLimits,
    peers_updated_at: Timestamp,
}

impl Dispatcher {
    /// Creates a dispatcher for an entry host in a failure domain.
    #[must_use]
    pub fn new(name: Arc<str>, failure_domain: Arc<str>) -> Self {
        Self {
            failure_domain,
            senders: SenderRanking::new(name),
            stats: HashMap::default(),
            limits: ServerLimits::default(),
            peers_updated_at: Timestamp::default(),
        }
    }

    /// Selects a backend server and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns why no backend server can take the request.
    pub fn choose(
        &mut self,
        directory: &Directory,
        criteria: &DispatchCriteria<'_>,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<Choice, NoHost> {
        // A suspected backend server is a candidate only if there is no other.
        let preferred = self.choose_candidate(directory, criteria, false, now, rng);
        let picked = match preferred {
            Err(NoHost::None | NoHost::AllTried | NoHost::Paused(_)) => self
                .choose_candidate(directory, criteria, true, now, rng)
                .or(preferred),
            preferred => preferred,
        };
        let (host, candidates) = picked?;
        self.limits.record_request(&host.id);
        let stats = self.stats.entry(host.id.clone()).or_default();
        stats.recent_requests.try_acquire(usize::MAX, now);
        let load = stats.total_running();
        stats.running += 1;
        Ok(Choice {
            host: host.clone(),
            candidates,
            load,
            load_age: now.since(self.peers_updated_at),
        })
    }

    /// Selects a lightly loaded backend server among either the suspected ones or the
    /// others.
    fn choose_candidate<'a>(
        &mut self,
        directory: &'a Directory,
        criteria: &DispatchCriteria<'_>,
        suspected: bool,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Result<(&'a Host, usize), NoHost> {
        let mut candidates: Vec<(f64, &Host)> = Vec::new();
        let tried = criteria.tried.iter().filter_map(|id| directory.get(id));
        let tried_fabric_domains: Vec<&Arc<str>> =
            tried.filter_map(|h| h.fabric_domain.as_ref()).collect();
        let mut reason = NoHost::None;
        let mut running = 0.0;
        for host in directory.hosts() {
            if !serves(directory, host, criteria, now) {
                continue;
            }
            let check = self.check_host(host, criteria, now);
            // A pause is more informative to a caller than that the server was tried.
            if let Some(until) = check.paused_until {
                reason = reason.or_more_specific(NoHost::Paused(until));
                continue;
            }
            if criteria.tried.contains(&host.id) {
                reason = reason.or_more_specific(NoHost::AllTried);
                continue;
            }
            if check.suspected != suspected {
                continue;
            }
            if check.at_limit {
                reason = reason.or_more_specific(NoHost::AtColdLimit);
                continue;
            }
            if check.at_own_limit {
                reason = reason.or_more_specific(NoHost::AtServerLimit);
                continue;
            }
            if check.full {
                reason = reason.or_more_specific(NoHost::Full);
                continue;
            }
            let fabric_domain = host.fabric_domain.as_ref();
            let is_shared = fabric_domain.is_some_and(|f| tried_fabric_domains.contains(&f));
            let fabric_penalty = if is_shared {
                SHARED_FABRIC_PENALTY
            } else {
                0.0
            };
            running += check.running;
            candidates.push((self.score(host, check.running, now) + fabric_penalty, host));
        }
        let host = match criteria.unreported_fraction() {
            Some(fraction) => {
                let loads: Vec<f64> = candidates.iter().map(|(load, _)| *load).collect();
                pick_below_level(&loads, running * fraction, rng).map(|i| candidates[i].1)
            }
            None => less_loaded_of_two(&candidates, rng),
        };
        Ok((host.ok_or(reason)?, candidates.len()))
    }

    /// Counts the backend servers that serve a request, and why they are not candidates.
    pub fn count_candidates(
        &mut self,
        directory: &Directory,
        criteria: &DispatchCriteria<'_>,
        now: Timestamp,
    ) -> CandidateCounts {
        let mut counts = CandidateCounts::default();
        for host in directory.hosts() {
            if !serves(directory, host, criteria, now) {
                continue;
            }
            let check = self.check_host(host, criteria, now);
            counts.serving += 1;
            counts.tried += usize::from(criteria.tried.contains(&host.id));
            counts.suspected += usize::from(check.suspected);
            counts.paused += usize::from(check.paused_until.is_some());
            counts.at_bound += usize::from(check.at_limit);
            counts.at_server_limit += usize::from(check.at_own_limit);
            counts.full += usize::from(check.full);
        }
        counts
    }

    /// Checks what may rule out a backend server for a request.
    fn check_host(
        &mut self,
        host: &Host,
        criteria: &DispatchCriteria<'_>,
        now: Timestamp,
    ) -> HostCheck {
        let limit = criteria
            .cold_limit
            .map(|l| self.max_per_second(l, host, now));
        let senders = &self.senders;
        let is_allowed = self.limits.allows(
            &host.id,
            host.incarnation,
            criteria.entry_hosts,
            |max_senders| senders.is_sender(&host.id, max_senders, now),
            now,
        );
        let stats = self.stats.entry(host.id.clone()).or_default();
        let used = stats.recent_requests.used(now);
        let running = stats.total_running();
        HostCheck {
            running,
            suspected: stats.is_suspected(now),
            paused_until: stats.paused_until(host.incarnation, now),
            at_limit: limit.is_some_and(|limit| used >= limit),
            at_own_limit: !is_allowed,
            full: running >= criteria.max_running,
        }
    }

    /// Returns the limits that backend servers named.
    #[must_use]
    pub const fn limits(&self) -> &ServerLimits {
        &self.limits
    }

    /// Returns the limits that backend servers named, to record what was heard of them.
    pub const fn limits_mut(&mut self) -> &mut ServerLimits {
        &mut self.limits
    }

    /// Returns how many requests per second this entry host may send to a backend server.
    fn max_per_second(&self, limit: ColdLimit, host: &Host, now: Timestamp) -> usize {
        if host.cold_until.is_none_or(|until| now >= until) {
            return limit.warm;
        }
        let max_senders = limit.max_senders;
        let is_sender = self.senders.is_cold_sender(&host.id, max_senders, now);
        if is_sender { limit.cold } else { 0 }
    }

    /// Returns the ranking of the entry hosts, to record registrations.
    pub const fn senders_mut(&mut self) -> &mut SenderRanking {
        &mut self.senders
    }

    fn score(&self, host: &Host, running: f64, now: Timestamp) -> f64 {
        let Some(stats) = self.stats.get(&host.id) else {
            return 0.0;
        };
        let remote_penalty = if host.failure_domain == self.failure_domain {
            0.0
        } else {
            REMOTE_DOMAIN_PENALTY
        };
        let latency_penalty = (stats.mean_latency_ms / 100.0).min(20.0);
        let is_cold = host.cold_until.is_some_and(|until| now < until);
        let cold_penalty = if is_cold { COLD_PENALTY } else { 0.0 };
        cold_penalty
            + running
            + remote_penalty
            + stats.failure_rate * FAILURE_PENALTY
            + latency_penalty
    }

    /// Records that a request at a backend server has ended.
    pub fn finish_request(&mut self, id: &str) {
        if let Some(stats) = self.stats.get_mut(id) {
            stats.running = stats.running.saturating_sub(1);
        }
    }

    /// Records whether a request succeeded at a backend server, and how long it took.
    pub fn record_outcome(&mut self, id: &str, succeeded: bool, elapsed: Option<Duration>) {
        let Some(stats) = self.stats.get_mut(id) else {
            return;
        };
        if succeeded {
            stats.is_probing = false;
        }
        let failure = if succeeded { 0.0 } else { 1.0 };
        stats.failure_rate += (failure - stats.failure_rate) * SAMPLE_WEIGHT;
        if let Some(elapsed) = elapsed {
            let ms = elapsed.as_secs_f64() * 1_000.0;
            let weight = if stats.mean_latency_ms == 0.0 {
                1.0
            } else {
                SAMPLE_WEIGHT
            };
            stats.mean_latency_ms += (ms - stats.mean_latency_ms) * weight;
        }
    }

    /// Marks a backend server as suspected, so that it gets no new work for a while if
    /// others can take it.
    pub fn suspect(&mut self, id: &HostId, now: Timestamp) {
        let stats = self.stats.entry(id.clone()).or_default();
        stats.suspected_until = now + SUSPICION_PERIOD;
        stats.is_probing = true;
    }

    /// Sends no work to an incarnation of a backend server for the time that it asked for.
    pub fn pause(&mut self, id: &HostId, incarnation: u64, pause: Duration, now: Timestamp) {
        let stats = self.stats.entry(id.clone()).or_default();
        let before = stats.paused_until(incarnation, now).unwrap_or_default();
        let until = before.max(now + pause);
        stats.pause = Some(Pause { incarnation, until });
    }

    /// Sets the number of requests that the other entry hosts run at each backend server;
    /// impossible numbers count as 0.
    pub fn set_peer_requests(&mut self, running: &HashMap<HostId, f64>, now: Timestamp) {
        self.peers_updated_at = now;
        for stats in self.stats.values_mut() {
            stats.peer_requests = 0.0;
        }
        for (id, running) in running {
            let is_possible = running.is_finite() && *running >= 0.0;
            let running = if is_possible { *running } else { 0.0 };
            self.stats.entry(id.clone()).or_default().peer_requests = running;
        }
    }

    /// Returns the number of this entry host's requests at each backend server.
    pub fn running(&self) -> impl Iterator<Item = (&HostId, u32)> {
        let running = self.stats.iter().map(|(id, s)| (id, s.running));
        running.filter(|(_, n)| *n > 0)
    }

    /// Returns the number of requests that all entry hosts run at a backend server, as far as
    /// their reports are known.
    #[must_use]
    pub fn total_running(&self, id: &str) -> f64 {
        self.stats.get(id).map_or(0.0, HostStats::total_running)
    }

    /// Removes backend servers that are gone, run none of our requests and asked for no
    /// pause that would still apply if their entry came back.
    pub fn prune_removed(&mut self, directory: &Directory, now: Timestamp) {
        self.limits.prune(now);
        self.stats.retain(|id, s| {
            let is_paused = s.pause.is_some_and(|p| now < p.until);
            s.running > 0 || is_paused || directory.get(id).is_some()
        });
    }
}

fn serves(
    directory: &Directory,
    host: &Host,
    criteria: &DispatchCriteria<'_>,
    now: Timestamp,
) -> bool {
    if *host.service != *criteria.service || !directory.accepts_work(host, now) {
        return false;
    }
    match criteria.model {
        None => true,
        Some(model) => host.is_open_head() && host.model.as_deref() == Some(model),
    }
}

/// Returns the less loaded of two random backend servers whose load is close to the lowest.
///
/// The loads of other entry hosts are known with a delay, so that all entry hosts would
/// otherwise send to the same least loaded server until they hear of it (M. Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001).
fn less_loaded_of_two<'a>(candidates: &[(f64, &'a Host)], rng: &mut impl Rng) -> Option<&'a Host> {
    let least = candidates
        .iter()
        .map(|(load, _)| *load)
        .fold(f64::MAX, f64::min);
    let near = candidates
        .iter()
        .filter(|(load, _)| *load <= least + CANDIDATE_MARGIN);
    let two = near.choose_multiple(rng, 2);
    two.into_iter()
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, host)| *host)
}
