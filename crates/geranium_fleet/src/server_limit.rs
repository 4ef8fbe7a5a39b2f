//! Limits on requests that backend servers name in their answers.
//!
//! A limit counts the requests of all entry hosts together. Each entry host that may send to
//! the server gets an equal part; there are only so many of them that the requests which all
//! may send at the same moment stay few. So the limit holds without communication. What an
//! entry host hears is told to the others besides, as each of them would otherwise find out
//! with a request of its own.

mod heard;
mod report;
mod state;

use geranium_core::collections::HashMap;
use geranium_core::time::Timestamp;

use crate::host::HostId;

use heard::HeardLimit;
pub use report::LimitReport;
use state::ServerLimit;

/// Number of senders to a server with a limit below one request per second; each further
/// request per second allows one more.
const MIN_SENDERS: usize = 4;

/// The limits that backend servers named.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: HashMap<HostId, ServerLimit>,
}

impl ServerLimits {
    /// Returns the number of entry hosts that may send to a server with a limit.
    #[must_use]
    pub fn max_senders(per_second: f64, entry_hosts: usize) -> usize {
        let most = (per_second as usize).saturating_add(MIN_SENDERS);
        entry_hosts.clamp(1, most)
    }

    /// Records an answer that names a limit; returns whether the limit is new or another one.
    pub fn record_named(
        &mut self,
        id: &HostId,
        incarnation: u64,
        per_second: f64,
        now: Timestamp,
    ) -> bool {
        let heard = HeardLimit {
            incarnation,
            per_second: Some(per_second),
            at: now,
            directly: true,
        };
        self.apply(id, &heard, now)
    }

    /// Records an answer that names no limit, to a request sent at `sent`; returns whether
    /// that ends a limit.
    ///
    /// Answers can overtake each other: only one to a request that was sent after the limit
    /// was heard is known to be newer.
    pub fn record_unlimited(
        &mut self,
        id: &HostId,
        incarnation: u64,
        sent: Timestamp,
        now: Timestamp,
    ) -> bool {
        let heard = HeardLimit {
            incarnation,
            per_second: None,
            at: sent,
            directly: true,
        };
        self.apply(id, &heard, now)
    }

    /// Applies what another entry host has heard; returns whether that changes the limit.
    pub fn apply_report(&mut self, report: &LimitReport, now: Timestamp) -> bool {
        self.apply(&report.host, &report.heard(now), now)
    }

    fn apply(&mut self, id: &HostId, heard: &HeardLimit, now: Timestamp) -> bool {
        if let Some(known) = self.limits.get_mut(id) {
            return known.apply(heard, now);
        }
        let Some(per_second) = heard.per_second else {
            return false;
        };
        let limit = ServerLimit::new(heard, per_second, now);
        self.limits.insert(id.clone(), limit);
        true
    }

    /// Returns whether this entry host may send a request now. `is_sender` returns whether it
    /// is one of a number of senders to the server.
    pub fn allows(
        &mut self,
        id: &str,
        incarnation: u64,
        entry_hosts: usize,
        is_sender: impl FnOnce(usize) -> bool,
        now: Timestamp,
    ) -> bool {
        let Some(limit) = self.limits.get_mut(id) else {
            return true;
        };
        if !limit.is_in_force(incarnation, now) {
            return true;
        }
        let senders = Self::max_senders(limit.per_second(), entry_hosts);
        limit.allows(senders, now) && is_sender(senders)
    }

    /// Counts a request that is sent to a backend server.
    pub fn record_request(&mut self, id: &str) {
        if let Some(limit) = self.limits.get_mut(id) {
            limit.record_request();
        }
    }

    /// Returns what the other entry hosts are to be told now; `with_reported` includes what
    /// this one was told itself, for those that pass it on.
    #[must_use]
    pub fn reports(&self, with_reported: bool, now: Timestamp) -> Vec<LimitReport> {
        let limits = self.limits.iter();
        limits
            .filter(|(_, limit)| limit.is_to_be_told(with_reported, now))
            .map(|(id, limit)| limit.report(id, now))
            .collect()
    }

    /// Returns the number of servers whose limit is in force.
    #[must_use]
    pub fn count(&self, now: Timestamp) -> usize {
        let limits = self.limits.values();
        limits
            .filter(|l| l.is_in_force(l.incarnation(), now))
            .count()
    }

    /// Removes limits that are not in force any more and that nobody has to be told of.
    pub fn prune(&mut self, now: Timestamp) {
        self.limits.retain(|_, limit| !limit.is_expired(now));
    }
}
