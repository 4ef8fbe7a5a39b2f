//! Which entry hosts may send to a backend server that takes few requests.

mod rank_cache;

use std::cell::RefCell;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;
use rustc_hash::FxHasher;

use super::own_registration::OwnRegistration;
use rank_cache::RankCache;

/// Shortest lease of a registration. Until it expires, other entry hosts share limits with
/// a failed entry host and send reports to it. Renewals are calls to the store.
pub const REGISTRATION_LEASE: Duration = Duration::from_secs(6);
/// Time beyond the lease before an entry host takes the place of another one. It covers the
/// second in which requests are counted, their way to the server and differing clock rates.
const SETTLING_MARGIN: Duration = Duration::from_secs(2);

/// Ranks the entry hosts for each backend server by rendezvous hashing, so that all of them
/// agree on the order without communication.
///
/// Lists of entry hosts differ for up to one lease. An entry host therefore sends to cold
/// servers only while its registration and its list are younger than that, and only after
/// it has been registered for longer than that; one that is gone counts for as long.
#[derive(Debug)]
pub struct SenderRanking {
    own_name: Arc<str>,
    /// Names of the entry hosts, with the time at which the registration of one that is gone
    /// was missing first.
    entry_hosts: HashMap<String, Option<Timestamp>>,
    lease_time: Duration,
    registration: Option<OwnRegistration>,
    /// Since when the list has contained this entry host without interruption.
    listed_since: Option<Timestamp>,
    /// Time as of which the list is known to be complete.
    list_confirmed_at: Timestamp,
    ranks: RefCell<RankCache>,
}

impl SenderRanking {
    /// Creates the ranking from the point of view of an entry host.
    pub(super) fn new(own_name: Arc<str>) -> Self {
        Self {
            own_name,
            entry_hosts: HashMap::default(),
            lease_time: REGISTRATION_LEASE,
            registration: None,
            listed_since: None,
            list_confirmed_at: Timestamp::default(),
            ranks: RefCell::default(),
        }
    }

    /// Sets the names of all registered entry hosts. Those that are missing still count for
    /// the lease time and a margin.
    pub fn set_entry_hosts(&mut self, names: impl IntoIterator<Item = String>, now: Timestamp) {
        // Marks all as gone first; those still listed are reset below.
        for gone_at in self.entry_hosts.values_mut() {
            gone_at.get_or_insert(now);
        }
        for name in names {
            self.entry_hosts.insert(name, None);
        }
        let settling_time = self.settling_time();
        self.entry_hosts
            .retain(|_, gone_at| gone_at.is_none_or(|at| now.since(at) < settling_time));
        let is_listed = self.entry_hosts.get(&*self.own_name) == Some(&None);
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        self.ranks.get_mut().clear();
    }

    /// Records that the list contained all changes of the store at a time.
    pub fn confirm_list(&mut self, at: Timestamp) {
        self.list_confirmed_at = self.list_confirmed_at.max(at);
    }

    /// Records that this entry host has registered with a lease that was requested at
    /// `lease_requested_at`.
    pub fn record_registered(
        &mut self,
        lease_time: Duration,
        lease_requested_at: Timestamp,
        now: Timestamp,
    ) {
        self.lease_time = lease_time;
        self.ranks.get_mut().clear();
        self.registration = Some(OwnRegistration {
            registered_at: now,
            renewed_at: lease_requested_at,
        });
    }

    /// Records that the store confirmed a renewal of the registration that was requested at
    /// a time.
    pub const fn record_renewed(&mut self, requested_at: Timestamp) {
        if let Some(registration) = &mut self.registration {
            registration.renewed_at = requested_at;
        }
    }

    /// Records that this entry host gives up its registration or has lost it.
    pub const fn end_registration(&mut self) {
        self.registration = None;
    }

    /// Returns whether this entry host is one of the first `max_senders` for a backend server.
    pub(super) fn is_sender(&self, id: &str, max_senders: usize, now: Timestamp) -> bool {
        let mut ranks = self.ranks.borrow_mut();
        let rank = ranks.get(id, now).unwrap_or_else(|| {
            let rank = self.rank(id, now);
            ranks.insert(id, rank, self.ranks_valid_until(now), now);
            rank
        });
        rank < max_senders
    }

    /// Returns how many entry hosts are ranked before this one for a backend server.
    fn rank(&self, id: &str, now: Timestamp) -> usize {
        let weight = |name: &str| {
            let mut hasher = FxHasher::default();
            (name, id).hash(&mut hasher);
            hasher.finish()
        };
        let own = weight(&self.own_name);
        let settling_time = self.settling_time();
        let counts =
            |gone_at: &Option<Timestamp>| gone_at.is_none_or(|at| now.since(at) < settling_time);
        let counted = self.entry_hosts.iter().filter(|(_, gone)| counts(gone));
        let ranked_before = counted.filter(|(name, _)| weight(name) > own);
        ranked_before.count()
    }

    /// Returns when the next entry host that is gone stops counting.
    fn ranks_valid_until(&self, now: Timestamp) -> Timestamp {
        let gone = self.entry_hosts.values().flatten();
        let ends = gone.map(|at| *at + self.settling_time());
        let next = ends.filter(|end| *end > now).min();
        next.unwrap_or(Timestamp(u64::MAX))
    }

    /// Returns whether this entry host may send to a backend server that is cold; without
    /// `max_senders` there is a share for each entry host.
    pub(super) fn is_cold_sender(
        &self,
        id: &str,
        max_senders: Option<usize>,
        now: Timestamp,
    ) -> bool {
        self.is_settled(now) && max_senders.is_none_or(|max| self.is_sender(id, max, now))
    }

    /// Returns whether all other entry hosts that may send know of this one, and it of them.
    fn is_settled(&self, now: Timestamp) -> bool {
        let (Some(registration), Some(listed_since)) = (&self.registration, self.listed_since)
        else {
            return false;
        };
        // The list may hold the registration of a previous process of the same name.
        let known_since = registration.registered_at.max(listed_since);
        now.since(known_since) >= self.settling_time()
            && now.since(registration.renewed_at) < self.lease_time
            && now.since(self.list_confirmed_at) < self.lease_time
    }

    fn settling_time(&self) -> Duration {
        self.lease_time + SETTLING_MARGIN
    }
}
