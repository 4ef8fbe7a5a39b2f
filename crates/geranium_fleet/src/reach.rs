//! Whether this entry host has a network path to the backend servers.
//!
//! A connection that fails shows either that the server has ended or that this entry host
//! is cut off, and these call for opposite decisions. Connections to several servers at once
//! tell them apart: servers of different failure domains rarely all end at the same moment.

use std::time::Duration;

use geranium_core::collections::HashSet;
use geranium_core::time::Timestamp;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::directory::Directory;
use crate::host::{Host, HostId};

/// Minimum number of servers that a check connects to, if there are so many.
const MIN_TARGETS: usize = 3;
/// Time between two checks that failed connections of requests cause.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the last check of the path to the backend servers has shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendReach {
    cut_off_since: Option<Timestamp>,
    checked_at: Option<Timestamp>,
}

impl BackendReach {
    /// Returns whether no backend server can be reached.
    #[must_use]
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns whether a failed connection calls for another check.
    #[must_use]
    pub fn is_check_due(&self, now: Timestamp) -> bool {
        self.checked_at
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL)
    }

    /// Returns the servers to connect to: one of each failure domain, as a whole one may be
    /// out of reach, another one of the own, and more up to a minimum. `suspect` is left out
    /// if there are others.
    pub fn targets(
        directory: &Directory,
        own_domain: &str,
        suspect: Option<&str>,
        rng: &mut impl Rng,
    ) -> Vec<(HostId, std::net::SocketAddr)> {
        let is_other = |h: &&Host| suspect.is_none_or(|id| *h.id != *id);
        let mut all: Vec<&Host> = directory.hosts().filter(is_other).collect();
        if all.is_empty() {
            all = directory.hosts().collect();
        }
        let shuffled = all.iter().copied().choose_multiple(rng, all.len());
        let mut domains = HashSet::default();
        let (mut first, mut rest): (Vec<&Host>, Vec<&Host>) = shuffled
            .into_iter()
            .partition(|h| domains.insert(&h.failure_domain));
        let own = rest.iter().position(|h| *h.failure_domain == *own_domain);
        first.extend(own.map(|i| rest.swap_remove(i)));
        let missing = MIN_TARGETS.saturating_sub(first.len());
        first.extend(rest.into_iter().take(missing));
        let targets = first.into_iter();
        targets.map(|h| (h.id.clone(), h.address)).collect()
    }

    /// Records a check that connected to `reached` of `targets` servers; returns whether that
    /// changes [`BackendReach::is_cut_off`].
    pub fn record_check(&mut self, targets: usize, reached: usize, now: Timestamp) -> bool {
        let before = self.is_cut_off();
        self.checked_at = Some(now);
        if targets == 0 || reached > 0 {
            self.cut_off_since = None;
        } else {
            self.cut_off_since = self.cut_off_since.or(Some(now));
        }
        self.is_cut_off() != before
    }

    /// Returns for how long no backend server could be reached.
    #[must_use]
    pub fn cut_off_for(&self, now: Timestamp) -> Option<Duration> {
        self.cut_off_since.map(|since| now.since(since))
    }
}
