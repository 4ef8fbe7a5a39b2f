//! Fair sharing among all client accounts.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::AccountLimit;
use super::account_queue::AccountQueue;
use crate::id::AccountId;
use crate::time::Timestamp;

/// The queues of all client accounts and the choice of the next one to serve.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    accounts: BTreeMap<AccountId, AccountQueue>,
}

impl AccountShares {
    /// Applies new limits; removes and returns the accounts that are not listed.
    pub(super) fn set_limits(
        &mut self,
        now: Timestamp,
        limits: &[AccountLimit],
    ) -> Vec<(AccountId, AccountQueue)> {
        let listed = |account: &AccountId| limits.iter().any(|l| l.account == *account);
        let removed = self.accounts.extract_if(.., |account, _| !listed(account));
        let removed = removed.collect();
        for limit in limits {
            match self.accounts.get_mut(&limit.account) {
                Some(queue) => queue.set_limit(now, limit),
                None => {
                    let queue = AccountQueue::new(now, limit);
                    self.accounts.insert(limit.account.clone(), queue);
                }
            }
        }
        removed
    }

    /// Returns the queue of an account.
    pub(super) fn get(&self, account: &AccountId) -> Option<&AccountQueue> {
        self.accounts.get(account)
    }

    /// Returns the mutable queue of an account.
    pub(super) fn get_mut(&mut self, account: &AccountId) -> Option<&mut AccountQueue> {
        self.accounts.get_mut(account)
    }

    /// Returns the accounts with queued requests.
    pub(super) fn backlogged(&self) -> Vec<AccountId> {
        let queues = self.accounts.iter();
        let waiting = queues.filter(|(_, queue)| queue.queued() > 0);
        waiting.map(|(account, _)| account.clone()).collect()
    }

    /// Picks the account whose request starts next.
    pub(super) fn pick_next(
        &mut self,
        now: Timestamp,
        capacity: u32,
        aging_step: Duration,
    ) -> Option<AccountId> {
        let weights: u64 = self.accounts.values().map(|q| u64::from(q.weight)).sum();
        let candidates = self.accounts.iter_mut().filter(|(_, q)| q.may_start());
        let ranked = candidates.map(|(account, queue)| {
            let usage = queue.charge(now);
            let guaranteed = u64::from(capacity) * u64::from(queue.weight) / weights;
            let entitled = u64::from(queue.in_progress) < guaranteed.max(1);
            let priority = if entitled {
                0
            } else {
                queue.next_priority(now, aging_step).unwrap_or(0)
            };
            ((!entitled, Reverse(priority), usage), account)
        });
        let next = ranked.min_by_key(|(rank, _)| *rank);
        next.map(|(_, account)| account.clone())
    }

    /// Raises the usage of an account that was idle to that of the least served
    /// active one, so that idle time earns no claim on later capacity.
    pub(super) fn catch_up(&mut self, now: Timestamp, account: &AccountId) {
        if self.get(account).is_none_or(AccountQueue::is_active) {
            return;
        }
        let active = self.accounts.values_mut().filter(|q| q.is_active());
        let floor = active.map(|q| q.charge(now)).min();
        if let Some(queue) = self.get_mut(account) {
            queue.charge(now);
            queue.catch_up(floor.unwrap_or(0));
        }
    }

    /// Returns the slots that an account can expect while it has queued requests: its
    /// weighted part of the slots that accounts without a queue leave unused.
    pub(super) fn expected_slots(&self, account: &AccountId, capacity: u32) -> f64 {
        let Some(queue) = self.get(account) else {
            return 0.0;
        };
        let mut competing_weight = 0;
        let mut shared = capacity;
        for (name, other) in &self.accounts {
            if name == account || other.queued() > 0 {
                competing_weight += other.weight;
            } else {
                shared = shared.saturating_sub(other.in_progress);
            }
        }
        let part = f64::from(queue.weight) / f64::from(competing_weight.max(1));
        (f64::from(shared) * part).min(f64::from(queue.max_concurrent))
    }
}
