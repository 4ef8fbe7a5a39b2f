//! Selects the backend server for a request.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;
use rustc_hash::FxHasher;

use crate::directory::Directory;
use crate::host::{Host, HostId};
use crate::rate_limiter::{RateLimiter, limit_per_entry_host};

/// Window of the rate limit for cold backend servers.
const COLD_WINDOW: Duration = Duration::from_secs(1);
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

/// A pause requested by a backend server.
#[derive(Clone, Copy, Debug)]
struct Pause {
    /// Incarnation that asked for the pause; the next one takes work.
    incarnation: u64,
    until: Timestamp,
}

/// Load and recent outcomes of one backend server, as seen by this entry host.
#[derive(Debug)]
struct HostStats {
    running: u32,
    peer_requests: f64,
    failure_rate: f64,
    mean_latency_ms: f64,
    suspected_until: Timestamp,
    /// Pause requested by an incarnation of the backend server.
    pause: Option<Pause>,
    /// Whether it has not answered successfully since it was suspected.
    is_probing: bool,
    recent_requests: RateLimiter,
}

impl Default for HostStats {
    fn default() -> Self {
        Self {
            running: 0,
            peer_requests: 0.0,
            failure_rate: 0.0,
            mean_latency_ms: 0.0,
            suspected_until: Timestamp::default(),
            pause: None,
            is_probing: false,
            recent_requests: RateLimiter::new(COLD_WINDOW),
        }
    }
}

impl HostStats {
    /// Returns whether new work goes to other servers if possible. After the suspicion
    /// period, one request at a time probes whether the backend server answers again.
    fn is_suspected(&self, now: Timestamp) -> bool {
        now < self.suspected_until || (self.is_probing && self.running > 0)
    }

    /// Returns the end of the pause that still applies to an incarnation.
    fn paused_until(&self, incarnation: u64, now: Timestamp) -> Option<Timestamp> {
        let pause = self
            .pause
            .filter(|p| p.incarnation == incarnation && now < p.until);
        pause.map(|p| p.until)
    }

    /// Returns the known number of running requests, including those of other entry hosts.
    fn total_running(&self) -> f64 {
        f64::from(self.running) + self.peer_requests
    }
}

/// Reasons that may rule out a backend server for a request.
struct HostCheck {
    running: f64,
    suspected: bool,
    paused_until: Option<Timestamp>,
    at_limit: bool,
    full: bool,
}

/// Why no backend server can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoHost {
    /// No known backend server serves the request.
    None,
    /// All that serve the request were tried before.
    AllTried,
    /// All asked for a pause; the first pause ends at this time.
    Paused(Timestamp),
    /// All have reached their limit on new work.
    AtColdLimit,
    /// All are full, so that the request would wait too long.
    Full,
}

impl NoHost {
    /// Returns the reason as it appears in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none_serves",
            Self::AllTried => "all_tried",
            Self::Paused(_) => "all_paused",
            Self::AtColdLimit => "at_cold_bound",
            Self::Full => "full",
        }
    }
}

/// Number of backend servers that serve a request, and why they are not candidates, for
/// logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidateCounts {
    /// Backend servers that serve the request.
    pub serving: usize,
    /// Those that the request was sent to before.
    pub tried: usize,
    /// Those that failed or stopped responding recently.
    pub suspected: usize,
    /// Those that asked for a pause that still applies.
    pub paused: usize,
    /// Those at this entry host's share of the limit on new work.
    pub at_bound: usize,
    /// Those that are full, counting the requests of this and other entry hosts.
    pub full: usize,
}

/// The selected backend server.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The backend server.
    pub host: Host,
    /// Number of backend servers that could have been selected.
    pub candidates: usize,
    /// Known number of requests running there.
    pub load: f64,
    /// Age of the other entry hosts' part of the load.
    pub load_age: Duration,
}

/// Maximum number of requests that this entry host sends to one backend server per second,
/// so that all entry hosts together stay below what a cold one can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    /// Limit for a backend server that is known to be cold: this entry host's share.
    pub cold: usize,
    /// Limit for any other backend server, as it may have turned cold a moment ago. It is
    /// above the share, as not all entry hosts send that much to the same server.
    pub warm: usize,
    /// Number of entry hosts that may send to a cold backend server at all, if there are
    /// more entry hosts than requests that it can take.
    pub max_senders: Option<usize>,
}

impl ColdLimit {
    /// Number of entry hosts' shares that one entry host may use at a warm backend server.
    const WARM_SHARES: usize = 2;
    /// Minimum limit of an entry host for a warm backend server.
    const MIN_WARM_LIMIT: usize = 3;

    /// Divides a limit by the number of entry hosts.
    #[must_use]
    pub fn new(limit: f64, entry_hosts: usize) -> Self {
        let share = limit_per_entry_host(limit, entry_hosts);
        let cold = share.max(1);
        let warm = limit_per_entry_host(limit * Self::WARM_SHARES as f64, entry_hosts);
        Self {
            cold,
            warm: warm.max(cold).max(Self::MIN_WARM_LIMIT),
            max_senders: (share == 0).then_some(limit as usize),
        }
    }
}

/// Requirements of a request on its backend server.
#[derive(Clone, Copy, Debug)]
pub struct DispatchCriteria<'a> {
    /// Service.
    pub service: &'a str,
    /// Model, for services with model engines.
    pub model: Option<&'a str>,
    /// Backend servers that the request was sent to before.
    pub tried: &'a [HostId],
    /// Limits on the requests per second of this entry host.
    pub cold_limit: Option<ColdLimit>,
    /// Number of requests, over all entry hosts, at which a backend server is full.
    pub max_running: f64,
}

/// Selects backend servers by load, distance and recent outcomes.
#[derive(Debug)]
pub struct Dispatcher {
    name: Arc<str>,
    failure_domain: Arc<str>,
    entry_hosts: Vec<String>,
    stats: HashMap<HostId, HostStats>,
    peers_updated_at: Timestamp,
}

impl Dispatcher {
    /// Creates a dispatcher for an entry host in a failure domain.
    #[must_use]
    pub fn new(name: Arc<str>, failure_domain: Arc<str>) -> Self {
        Self {
            name,
            failure_domain,
            entry_hosts: Vec::new(),
            stats: HashMap::default(),
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
        for host in directory.hosts() {
            if !serves(directory, host, criteria, now) {
                continue;
            }
            let check = self.check_host(host, criteria, now);
            // A pause is more informative to a caller than that the server was tried.
            if let Some(until) = check.paused_until {
                reason = more_specific(reason, NoHost::Paused(until));
                continue;
            }
            if criteria.tried.contains(&host.id) {
                reason = more_specific(reason, NoHost::AllTried);
                continue;
            }
            if check.suspected != suspected {
                continue;
            }
            if check.at_limit {
                reason = more_specific(reason, NoHost::AtColdLimit);
                continue;
            }
            if check.full {
                reason = more_specific(reason, NoHost::Full);
                continue;
            }
            let fabric_domain = host.fabric_domain.as_ref();
            let is_shared = fabric_domain.is_some_and(|f| tried_fabric_domains.contains(&f));
            let fabric_penalty = if is_shared {
                SHARED_FABRIC_PENALTY
            } else {
                0.0
            };
            candidates.push((self.score(host, check.running, now) + fabric_penalty, host));
        }
        let host = less_loaded_of_two(&candidates, rng).ok_or(reason)?;
        Ok((host, candidates.len()))
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
        let stats = self.stats.entry(host.id.clone()).or_default();
        let used = stats.recent_requests.used(now);
        let running = stats.total_running();
        HostCheck {
            running,
            suspected: stats.is_suspected(now),
            paused_until: stats.paused_until(host.incarnation, now),
            at_limit: limit.is_some_and(|limit| used >= limit),
            full: running >= criteria.max_running,
        }
    }

    /// Returns how many requests per second this entry host may send to a backend server.
    fn max_per_second(&self, limit: ColdLimit, host: &Host, now: Timestamp) -> usize {
        if host.cold_until.is_none_or(|until| now >= until) {
            return limit.warm;
        }
        match limit.max_senders {
            Some(max_senders) if !self.is_sender(&host.id, max_senders) => 0,
            _ => limit.cold,
        }
    }

    /// Returns whether this entry host may send to a cold backend server. The senders are
    /// chosen by rendezvous hashing, so that all entry hosts agree on them.
    fn is_sender(&self, id: &str, max_senders: usize) -> bool {
        let weight = |name: &str| {
            let mut hasher = FxHasher::default();
            (name, id).hash(&mut hasher);
            hasher.finish()
        };
        let own = weight(&self.name);
        let ranked_before = self.entry_hosts.iter().filter(|n| weight(n) > own);
        ranked_before.count() < max_senders
    }

    /// Sets the names of all entry hosts.
    pub fn set_entry_hosts(&mut self, names: impl IntoIterator<Item = String>) {
        self.entry_hosts = names.into_iter().collect();
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

    /// Sets the number of requests that the other entry hosts run at each backend server.
    pub fn set_peer_requests(&mut self, running: &HashMap<HostId, f64>, now: Timestamp) {
        self.peers_updated_at = now;
        for stats in self.stats.values_mut() {
            stats.peer_requests = 0.0;
        }
        for (id, running) in running {
            self.stats.entry(id.clone()).or_default().peer_requests = *running;
        }
    }

    /// Returns the number of this entry host's requests at each backend server.
    pub fn running(&self) -> impl Iterator<Item = (&HostId, u32)> {
        let running = self.stats.iter().map(|(id, s)| (id, s.running));
        running.filter(|(_, n)| *n > 0)
    }

    /// Removes backend servers that are gone, run none of our requests and asked for no
    /// pause that would still apply if their entry came back.
    pub fn prune_removed(&mut self, directory: &Directory, now: Timestamp) {
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

/// Returns the reason that is more informative to a caller.
fn more_specific(old: NoHost, new: NoHost) -> NoHost {
    if let (NoHost::Paused(a), NoHost::Paused(b)) = (old, new) {
        return NoHost::Paused(a.min(b));
    }
    let order = |r: NoHost| match r {
        NoHost::None => 0,
        NoHost::AllTried => 1,
        NoHost::Paused(_) => 2,
        NoHost::AtColdLimit => 3,
        NoHost::Full => 4,
    };
    if order(new) > order(old) { new } else { old }
}
