//! Credits of one entry host for cold groups.

use std::collections::BTreeMap;

use super::{ColdSettings, CreditGrant, CreditRequest};
use crate::id::{GroupId, HostId, Incarnation};
use crate::route::ColdCredits;
use crate::time::Timestamp;

/// Outcome of a request on a cold group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdOutcome {
    /// The group answered it completely.
    Succeeded,
    /// It failed on the group.
    Failed,
    /// It ended for another reason, such as a disconnected caller.
    Cancelled,
}

/// Requests that must be moved off a cold group because their credits expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredCredit {
    /// The cold group.
    pub group: GroupId,
    /// Requests of this entry host in progress on it.
    pub in_use: u32,
}

/// Credits of this entry host for one group.
#[derive(Clone, Debug, Default)]
struct GroupCredits {
    generation: u64,
    held: u32,
    expires: Timestamp,
    in_use: u32,
    wanted: u32,
    sequence: u64,
    asked_at: Option<Timestamp>,
    successes: u32,
    failures: u32,
    marked: bool,
    marks: u32,
}

impl GroupCredits {
    fn restart(&mut self, generation: u64) {
        self.generation = generation;
        self.held = self.held.min(self.in_use);
        self.wanted = 0;
        self.sequence += 1;
        self.asked_at = None;
        self.successes = 0;
        self.failures = 0;
        self.marked = false;
        self.marks = 0;
    }

    /// Drops expired credits and invalidates the pending request: its answer may renew
    /// credits that the holder has since granted to other users.
    fn expire(&mut self, now: Timestamp) {
        if self.held > 0 && now >= self.expires {
            self.held = 0;
            self.sequence += 1;
            self.asked_at = None;
        }
    }

    fn free(&self, now: Timestamp) -> u32 {
        if now < self.expires {
            self.held.saturating_sub(self.in_use)
        } else {
            0
        }
    }
}

/// Manages the credits of one entry host for cold groups.
///
/// A request on a cold group holds a credit from its start to its end. The
/// driver sends the messages of [`ColdCreditUser::requests_due`] to the holder. It
/// ends the requests on the groups of [`ColdCreditUser::expired`] and resumes them
/// on other groups.
#[derive(Clone, Debug)]
pub struct ColdCreditUser {
    host: HostId,
    incarnation: Incarnation,
    settings: ColdSettings,
    groups: BTreeMap<GroupId, GroupCredits>,
}

impl ColdCreditUser {
    /// Creates a user that holds no credits.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation, settings: ColdSettings) -> Self {
        Self {
            host,
            incarnation,
            settings,
            groups: BTreeMap::new(),
        }
    }

    /// Marks a group that reports itself warm as cold.
    ///
    /// Returns whether the group was not marked before, in which case the peers and
    /// the holder should be informed.
    pub fn mark_cold(&mut self, group: &GroupId, generation: u64) -> bool {
        let known = self.group_mut(group, generation);
        if known.generation != generation {
            return false;
        }
        if known.marked {
            return false;
        }
        known.marked = true;
        known.marks += 1;
        true
    }

    /// Sets how many requests this entry host wants to have in progress on a cold
    /// group.
    pub fn set_wanted(&mut self, group: &GroupId, generation: u64, wanted: u32) {
        let known = self.group_mut(group, generation);
        if known.generation == generation {
            known.wanted = wanted;
        }
    }

    /// Returns the requests for credits that are due to be sent to the holder.
    pub fn requests_due(&mut self, now: Timestamp) -> Vec<CreditRequest> {
        let interval = self.settings.renew_interval;
        let mut due = Vec::new();
        for (group, known) in &mut self.groups {
            known.expire(now);
            let needs_credits = known.held > 0 || known.in_use > 0 || known.wanted > 0;
            let interval_elapsed = known.asked_at.is_none_or(|t| now.since(t) >= interval);
            if !interval_elapsed || !(needs_credits || known.marked) {
                continue;
            }
            known.sequence += 1;
            known.asked_at = Some(now);
            known.held = known.held.min(known.in_use.max(known.wanted));
            due.push(CreditRequest {
                user: self.host.clone(),
                incarnation: self.incarnation,
                group: group.clone(),
                generation: known.generation,
                sequence: known.sequence,
                in_use: known.in_use,
                keep: known.held,
                wanted: known.wanted.max(known.in_use),
                successes: known.successes,
                failures: known.failures,
                marked: known.marked,
                marks: known.marks,
                asked_at: now,
            });
        }
        due
    }

    /// Applies an answer of the holder; an answer to an earlier request is ignored.
    pub fn granted(&mut self, now: Timestamp, grant: &CreditGrant) {
        let Some(known) = self.groups.get_mut(&grant.group) else {
            return;
        };
        known.expire(now);
        if known.generation != grant.generation || known.sequence != grant.sequence {
            return;
        }
        let expires = grant.asked_at + self.settings.lifetime;
        if now >= expires {
            return;
        }
        known.held = grant.credits;
        known.expires = expires;
        if grant.warm {
            known.marked = false;
        }
    }

    /// Uses a credit for a request that starts now; returns whether one was
    /// available.
    #[must_use]
    pub fn try_start(&mut self, now: Timestamp, group: &GroupId, generation: u64) -> bool {
        let known = self.group_mut(group, generation);
        known.expire(now);
        if known.generation != generation || known.free(now) == 0 {
            return false;
        }
        known.in_use += 1;
        true
    }

    /// Records the end of a request on a cold group and frees its credit.
    pub fn ended(&mut self, group: &GroupId, generation: u64, outcome: ColdOutcome) {
        let Some(known) = self.groups.get_mut(group) else {
            return;
        };
        known.in_use = known.in_use.saturating_sub(1);
        if known.generation != generation {
            return;
        }
        match outcome {
            ColdOutcome::Succeeded => known.successes += 1,
            ColdOutcome::Failed => known.failures += 1,
            ColdOutcome::Cancelled => {}
        }
    }

    /// Returns the groups with requests of this entry host in progress whose credits
    /// expired. The requests must be moved off these groups.
    pub fn expired(&mut self, now: Timestamp) -> Vec<ExpiredCredit> {
        let mut expired = Vec::new();
        for (group, known) in &mut self.groups {
            known.expire(now);
            if known.in_use > 0 && now >= known.expires {
                expired.push(ExpiredCredit {
                    group: group.clone(),
                    in_use: known.in_use,
                });
            }
        }
        expired
    }

    /// Returns the number of requests of this entry host in progress on a cold group.
    #[must_use]
    pub fn in_use(&self, group: &GroupId) -> u32 {
        self.groups.get(group).map_or(0, |known| known.in_use)
    }

    /// Removes groups without requests in progress for which `keep` returns false.
    pub fn retain_groups(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.groups
            .retain(|group, known| known.in_use > 0 || keep(group));
    }

    fn group_mut(&mut self, group: &GroupId, generation: u64) -> &mut GroupCredits {
        let known = self.groups.entry(group.clone()).or_default();
        if generation != known.generation {
            known.restart(generation);
        }
        known
    }
}

impl ColdCredits for ColdCreditUser {
    fn available(&self, now: Timestamp, group: &GroupId, generation: u64) -> u32 {
        let known = self.groups.get(group);
        let known = known.filter(|known| known.generation == generation);
        known.map_or(0, |known| known.free(now))
    }

    fn has_cold_marks(&self) -> bool {
        self.groups.values().any(|known| known.marked)
    }

    fn marked_cold(&self, group: &GroupId, generation: u64) -> bool {
        let known = self.groups.get(group);
        known.is_some_and(|known| known.marked && known.generation == generation)
    }
}
