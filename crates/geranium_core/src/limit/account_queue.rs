//! Queue and usage accounting of one client account.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Ticket;
use crate::id::AccountId;
use crate::time::Timestamp;

/// Scale factor of an account's usage, which keeps the rounding error of the
/// division by its weight small.
const USAGE_SCALE: u64 = 1_024;
/// Usage charged for each start, so that ties do not always favour the same
/// account.
const START_CHARGE_MICROS: u64 = 1_000;

/// Limits of a client account for one model on one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountLimit {
    /// The account.
    pub account: AccountId,
    /// Relative share of the capacity under contention; at least 1.
    pub weight: u32,
    /// Maximum number of requests in progress.
    pub max_concurrent: u32,
}

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    pub(super) queued_at: Timestamp,
    pub(super) start_by: Timestamp,
    pub(super) deadline: Timestamp,
}

/// Queue and usage accounting of one client account.
#[derive(Clone, Debug)]
pub(super) struct AccountQueue {
    pub(super) weight: u32,
    pub(super) max_concurrent: u32,
    pub(super) in_progress: u32,
    /// Slot time used, divided by the weight and scaled by [`USAGE_SCALE`].
    usage: u64,
    charged_at: Timestamp,
    levels: BTreeMap<u8, VecDeque<QueuedRequest>>,
    queued: usize,
}

impl AccountQueue {
    /// Creates an empty queue.
    pub(super) fn new(now: Timestamp, limit: &AccountLimit) -> Self {
        Self {
            weight: limit.weight.max(1),
            max_concurrent: limit.max_concurrent,
            in_progress: 0,
            usage: 0,
            charged_at: now,
            levels: BTreeMap::new(),
            queued: 0,
        }
    }

    /// Applies a new weight and limit.
    pub(super) fn set_limit(&mut self, now: Timestamp, limit: &AccountLimit) {
        self.charge(now);
        self.weight = limit.weight.max(1);
        self.max_concurrent = limit.max_concurrent;
    }

    /// Returns the number of queued requests.
    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    /// Returns whether the account has requests in progress or queued.
    pub(super) fn is_active(&self) -> bool {
        self.in_progress > 0 || self.queued > 0
    }

    /// Returns whether a queued request may start.
    pub(super) fn may_start(&self) -> bool {
        self.queued > 0 && self.in_progress < self.max_concurrent
    }

    /// Charges the slot time used since the last charge and returns the usage.
    pub(super) fn charge(&mut self, now: Timestamp) -> u64 {
        let micros = now.0.saturating_sub(self.charged_at.0) * u64::from(self.in_progress);
        self.usage += micros * USAGE_SCALE / u64::from(self.weight);
        self.charged_at = self.charged_at.max(now);
        self.usage
    }

    /// Raises the usage to `floor`, the usage of accounts that were active while this
    /// one was idle, so that idle time earns no claim on later capacity.
    pub(super) fn catch_up(&mut self, floor: u64) {
        self.usage = self.usage.max(floor);
    }

    /// Records the start of a request.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.charge(now);
        self.usage += START_CHARGE_MICROS * USAGE_SCALE / u64::from(self.weight);
        self.in_progress += 1;
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, now: Timestamp) {
        self.charge(now);
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Appends a request to the queue of its priority.
    pub(super) fn push(&mut self, priority: u8, waiting: QueuedRequest) {
        self.levels.entry(priority).or_default().push_back(waiting);
        self.queued += 1;
    }

    /// Returns the submitted priority of the next request, without aging.
    pub(super) fn next_priority(&self, now: Timestamp, step: Duration) -> Option<u8> {
        self.next_level(now, step)
    }

    /// Removes and returns the next request.
    pub(super) fn pop(&mut self, now: Timestamp, step: Duration) -> Option<QueuedRequest> {
        let priority = self.next_level(now, step)?;
        let level = self.levels.get_mut(&priority)?;
        let waiting = level.pop_front();
        if level.is_empty() {
            self.levels.remove(&priority);
        }
        self.queued -= usize::from(waiting.is_some());
        waiting
    }

    /// Removes a request from any position in the queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        for level in self.levels.values_mut() {
            if let Some(i) = level.iter().position(|w| w.ticket == ticket) {
                self.queued -= 1;
                return level.remove(i);
            }
        }
        None
    }

    /// Removes and returns every request for which `keep` returns false. `keep`
    /// receives the number of kept requests ahead and is called for higher
    /// priorities first.
    pub(super) fn retain(
        &mut self,
        mut keep: impl FnMut(usize, &QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut dropped = Vec::new();
        let mut kept = 0;
        for level in self.levels.values_mut().rev() {
            level.retain(|waiting| {
                let stays = keep(kept, waiting);
                if stays {
                    kept += 1;
                } else {
                    dropped.push(*waiting);
                }
                stays
            });
        }
        self.levels.retain(|_, level| !level.is_empty());
        self.queued = kept;
        dropped
    }

    /// Returns the number of queued requests that would be served before a new one of
    /// the given priority.
    pub(super) fn ahead_of(&self, priority: u8) -> usize {
        let levels = self.levels.range(priority..);
        levels.map(|(_, level)| level.len()).sum()
    }

    /// Returns the priority level whose first request is next. Waiting raises the
    /// effective priority of a request; ties go to the one that has waited longest.
    fn next_level(&self, now: Timestamp, step: Duration) -> Option<u8> {
        let step = step.as_micros().max(1) as u64;
        let heads = self.levels.iter().filter_map(|(&priority, level)| {
            let head = level.front()?;
            let aged = now.0.saturating_sub(head.queued_at.0) / step;
            Some((u64::from(priority) + aged, head.queued_at, priority))
        });
        let rank = |&(effective, queued_at, _): &(u64, Timestamp, u8)| {
            (effective, std::cmp::Reverse(queued_at))
        };
        heads.max_by_key(rank).map(|(_, _, priority)| priority)
    }
}
