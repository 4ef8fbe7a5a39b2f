//! Selection of the entry host that takes over a request from one that cannot reach the
//! backend servers.
//!
//! Which of the others are cut off too is not announced: one that is says so at once when
//! it is asked, which costs a round trip. So the choice also works while most are cut off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::exchange::Peer;

/// Time for which an entry host that took no request is not asked again.
const AVOID_PERIOD: Duration = Duration::from_secs(3);
/// Time for which an entry host that took a request is asked before others.
const TRUST_PERIOD: Duration = Duration::from_secs(10);
/// Number of entry hosts that are known to take requests from which on no others are asked.
/// Among that many the load of one is spread.
const MAX_TRUSTED: usize = 8;

/// Another entry host to which requests can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Name.
    pub name: Arc<str>,
    /// Address for forwarded requests.
    pub address: SocketAddr,
}

/// What is known of another entry host.
#[derive(Debug)]
struct Entry {
    target: ForwardTarget,
    failure_domain: Arc<str>,
    avoided_until: Timestamp,
    trusted_until: Timestamp,
}

/// The entry hosts to which requests can be forwarded.
#[derive(Debug)]
pub struct ForwardTargets {
    own_name: Arc<str>,
    failure_domain: Arc<str>,
    entries: HashMap<Arc<str>, Entry>,
}

impl ForwardTargets {
    /// Creates an empty set for the entry host `own_name`.
    #[must_use]
    pub fn new(own_name: Arc<str>, failure_domain: Arc<str>) -> Self {
        Self {
            own_name,
            failure_domain,
            entries: HashMap::default(),
        }
    }

    /// Adds, updates or (with `None`) removes an entry host.
    pub fn set(&mut self, name: &str, peer: Option<&Peer>) {
        let address = peer.and_then(|p| p.forward_address);
        let (Some(peer), Some(address)) = (peer, address) else {
            self.entries.remove(name);
            return;
        };
        if *peer.name == *self.own_name {
            return;
        }
        let target = ForwardTarget {
            name: peer.name.clone(),
            address,
        };
        if self.entries.get(name).is_some_and(|e| e.target == target) {
            return;
        }
        let entry = Entry {
            target,
            failure_domain: peer.failure_domain.clone(),
            avoided_until: Timestamp::default(),
            trusted_until: Timestamp::default(),
        };
        self.entries.insert(peer.name.clone(), entry);
    }

    /// Selects an entry host that is not among those `tried`: one that took requests lately,
    /// unless few are known, and one of the own failure domain if possible.
    pub fn choose(
        &self,
        tried: &[Arc<str>],
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<ForwardTarget> {
        let usable = |e: &&Entry| now >= e.avoided_until && !tried.contains(&e.target.name);
        let is_trusted = |e: &&Entry| now < e.trusted_until;
        let is_local = |e: &&Entry| e.failure_domain == self.failure_domain;
        let usable: Vec<&Entry> = self.entries.values().filter(usable).collect();
        let trusted: Vec<&Entry> = usable.iter().copied().filter(is_trusted).collect();
        let explores = trusted.len() < MAX_TRUSTED && rng.random_ratio(1, MAX_TRUSTED as u32);
        let candidates = if trusted.is_empty() || explores {
            usable
        } else {
            trusted
        };
        let local = candidates.iter().copied().filter(is_local).choose(rng);
        let chosen = local.or_else(|| candidates.iter().copied().choose(rng));
        chosen.map(|e| e.target.clone())
    }

    /// Records that an entry host took a request.
    pub fn record_taken(&mut self, name: &str, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.trusted_until = now + TRUST_PERIOD;
        }
    }

    /// Records that an entry host took no request or could not be reached.
    pub fn record_not_taken(&mut self, name: &str, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.avoided_until = now + AVOID_PERIOD;
            entry.trusted_until = Timestamp::default();
        }
    }
}
