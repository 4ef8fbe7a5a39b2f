//! What is known of the limit of one backend server.

use std::time::Duration;

use geranium_core::time::Timestamp;

use super::LimitReport;
use super::heard::HeardLimit;
use crate::host::HostId;

/// Lowest rate at which requests are sent, per second. Without any, nobody would notice that
/// the server takes requests again.
const MIN_RATE: f64 = 0.1;
/// Time after which a limit that nobody heard again is no longer kept. It is longer than the
/// time between two requests of one sender at [`MIN_RATE`].
const LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a change is told to the other entry hosts, as datagrams can get lost.
const TELLING_TIME: Duration = Duration::from_secs(1);
/// Time after which a limit that is still named is told again, for those that missed it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Relative change of a limit from which on it is told.
const MIN_CHANGE: f64 = 0.25;
/// Requests that an entry host may send at once.
const MAX_TOKENS: f64 = 1.0;

/// The limit of one incarnation of a backend server, and this entry host's part of it.
#[derive(Debug)]
pub(super) struct ServerLimit {
    incarnation: u64,
    per_second: f64,
    /// Time of the last answer that named the limit.
    named_at: Timestamp,
    /// Latest time at which a request was sent whose answer named none.
    unlimited_at: Timestamp,
    tokens: f64,
    refilled_at: Timestamp,
    /// Whether the last change was heard from the server itself.
    heard_directly: bool,
    /// Since when the last change is told to the others.
    told_since: Timestamp,
}

impl ServerLimit {
    /// Creates the state at a limit that has just become known.
    pub(super) fn new(heard: &HeardLimit, per_second: f64, now: Timestamp) -> Self {
        Self {
            incarnation: heard.incarnation,
            per_second,
            named_at: heard.at,
            unlimited_at: Timestamp::default(),
            tokens: 0.0,
            refilled_at: now,
            heard_directly: heard.directly,
            told_since: now,
        }
    }

    /// Applies what was heard; returns whether it changes the limit.
    pub(super) fn apply(&mut self, heard: &HeardLimit, now: Timestamp) -> bool {
        if heard.incarnation != self.incarnation {
            let is_newer = heard.directly || heard.incarnation > self.incarnation;
            let Some(per_second) = heard.per_second.filter(|_| is_newer) else {
                return false;
            };
            *self = Self::new(heard, per_second, now);
            return true;
        }
        match heard.per_second {
            Some(per_second) => self.apply_named(per_second, heard, now),
            None => self.apply_unlimited(heard, now),
        }
    }

    fn apply_named(&mut self, per_second: f64, heard: &HeardLimit, now: Timestamp) -> bool {
        if heard.at < self.named_at {
            return false;
        }
        let was_in_force = self.is_in_force(self.incarnation, now);
        self.named_at = heard.at;
        if !self.is_in_force(self.incarnation, now) {
            return false;
        }
        let change = (per_second - self.per_second).abs();
        let differs = change > self.per_second * MIN_CHANGE;
        self.per_second = per_second;
        if !was_in_force {
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        let is_repeat_due = heard.directly && now.since(self.told_since) >= REPEAT_INTERVAL;
        if !was_in_force || differs || is_repeat_due {
            self.tell(heard.directly, now);
        }
        !was_in_force || differs
    }

    fn apply_unlimited(&mut self, heard: &HeardLimit, now: Timestamp) -> bool {
        let was_in_force = self.is_in_force(self.incarnation, now);
        self.unlimited_at = self.unlimited_at.max(heard.at);
        let ends = was_in_force && !self.is_in_force(self.incarnation, now);
        if ends {
            self.tell(heard.directly, now);
        }
        ends
    }

    fn tell(&mut self, heard_directly: bool, now: Timestamp) {
        self.heard_directly = heard_directly;
        self.told_since = now;
    }

    pub(super) const fn per_second(&self) -> f64 {
        self.per_second
    }

    pub(super) const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether an incarnation of the server still has this limit.
    pub(super) fn is_in_force(&self, incarnation: u64, now: Timestamp) -> bool {
        self.incarnation == incarnation
            && self.unlimited_at <= self.named_at
            && now.since(self.named_at) < LIFETIME
    }

    /// Returns whether nobody needs the state any more.
    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.named_at) >= LIFETIME && !self.is_to_be_told(true, now)
    }

    /// Returns whether this entry host may send a request as one of a number of senders.
    pub(super) fn allows(&mut self, senders: usize, now: Timestamp) -> bool {
        let per_second = self.per_second.max(MIN_RATE) / senders as f64;
        let gained = now.since(self.refilled_at).as_secs_f64() * per_second;
        self.tokens = (self.tokens + gained).min(MAX_TOKENS);
        self.refilled_at = now;
        self.tokens >= MAX_TOKENS
    }

    /// Counts a request that is sent.
    pub(super) fn record_request(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns whether the other entry hosts are to be told now.
    pub(super) fn is_to_be_told(&self, with_reported: bool, now: Timestamp) -> bool {
        (with_reported || self.heard_directly) && now.since(self.told_since) < TELLING_TIME
    }

    /// Returns what the other entry hosts are told.
    pub(super) fn report(&self, id: &HostId, now: Timestamp) -> LimitReport {
        let is_limited = self.unlimited_at <= self.named_at;
        let heard_at = if is_limited {
            self.named_at
        } else {
            self.unlimited_at
        };
        LimitReport {
            host: id.clone(),
            incarnation: self.incarnation,
            per_second: is_limited.then_some(self.per_second),
            age_ms: now.since(heard_at).as_millis() as u64,
        }
    }
}
