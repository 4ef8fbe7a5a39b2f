//! Admission of requests to one model on one entry host.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::account_queue::{AccountQueue, QueuedRequest};
use super::account_shares::AccountShares;
use super::drain::DrainRate;
use super::{
    AccountLimit, AdmissionRefusal, AdmissionSettings, RefusedTicket, StartedTicket, Ticket,
};
use crate::collections::HashMap;
use crate::id::AccountId;
use crate::time::Timestamp;

/// Fraction of the remaining time that the expected wait of a new request may
/// take. The margin absorbs errors of the estimate, so that a request is not
/// queued until its deadline.
const ACCEPT_WAIT_FRACTION: f64 = 0.7;
/// Fraction of the remaining time that the expected wait of a queued request may
/// take. The margin absorbs errors of the estimate, so that a request that would
/// have started in time is not dropped.
const KEEP_WAIT_FRACTION: f64 = 1.25;

/// A request submitted for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Client account of the caller.
    pub account: &'a AccountId,
    /// Priority, higher first.
    pub priority: u8,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Timestamp,
}

/// Outcome of submitting a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request may start now.
    Admitted(Ticket),
    /// The request is queued; a later change starts or refuses it.
    Queued(Ticket),
    /// The request was refused and was not run.
    Refused(AdmissionRefusal),
}

/// Queued requests that may start or were refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionChange {
    /// Requests that may start now.
    pub started: Vec<StartedTicket>,
    /// Requests that were refused and not run.
    pub refused: Vec<RefusedTicket>,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    account: AccountId,
    started_at: Timestamp,
}

/// Shares the capacity for one model among client accounts.
///
/// Accounts below their guaranteed share are served first, in order of least slot
/// time used relative to weight. Remaining capacity is allocated by the priority
/// of each account's next request. Waiting raises the priority of a request only
/// within its account, so a long queue earns no larger share. The policy is
/// work-conserving: no slot stays idle while a request that may use it is queued.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    capacity: u32,
    zero_capacity_since: Option<Timestamp>,
    in_progress: u32,
    queued: usize,
    accounts: AccountShares,
    running: HashMap<Ticket, RunningRequest>,
    waiting: HashMap<Ticket, AccountId>,
    drain: DrainRate,
    next_ticket: u64,
    rng: SmallRng,
}

impl Admission {
    /// Creates an admission without accounts or capacity.
    #[must_use]
    pub fn new(settings: AdmissionSettings, seed: u64) -> Self {
        Self {
            settings,
            capacity: 0,
            zero_capacity_since: None,
            in_progress: 0,
            queued: 0,
            accounts: AccountShares::default(),
            running: HashMap::default(),
            waiting: HashMap::default(),
            drain: DrainRate::new(settings.initial_service_time),
            next_ticket: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the accounts and their limits; queued requests of other accounts are
    /// refused.
    pub fn set_accounts(&mut self, now: Timestamp, limits: &[AccountLimit]) -> AdmissionChange {
        let mut change = AdmissionChange::default();
        for (account, queue) in self.accounts.set_limits(now, limits) {
            self.refuse_all(&account, queue, &mut change);
        }
        self.start_waiting(now, &mut change);
        change
    }

    /// Sets the maximum number of requests in progress.
    pub fn set_capacity(&mut self, now: Timestamp, capacity: u32) -> AdmissionChange {
        self.zero_capacity_since = match (capacity, self.zero_capacity_since) {
            (0, None) => Some(now),
            (0, since) => since,
            _ => None,
        };
        self.capacity = capacity;
        let mut change = AdmissionChange::default();
        self.start_waiting(now, &mut change);
        change
    }

    /// Submits a request.
    pub fn submit(&mut self, now: Timestamp, req: &AdmissionRequest<'_>) -> AdmissionOutcome {
        match self.check(now, req) {
            Ok(()) => self.accept(now, req),
            Err(refusal) => AdmissionOutcome::Refused(refusal),
        }
    }

    /// Records that a request in progress ended, whatever its outcome.
    pub fn finished(&mut self, now: Timestamp, ticket: Ticket) -> AdmissionChange {
        let mut change = AdmissionChange::default();
        if let Some(running) = self.running.remove(&ticket) {
            self.in_progress -= 1;
            self.drain.ended(now, now.since(running.started_at));
            if let Some(queue) = self.accounts.get_mut(&running.account) {
                queue.end(now);
            }
            self.start_waiting(now, &mut change);
        }
        change
    }

    /// Removes a request, queued or in progress, because its caller disconnected.
    pub fn cancelled(&mut self, now: Timestamp, ticket: Ticket) -> AdmissionChange {
        if let Some(account) = self.waiting.remove(&ticket) {
            self.queued -= 1;
            if let Some(queue) = self.accounts.get_mut(&account) {
                queue.remove(ticket);
            }
            return AdmissionChange::default();
        }
        self.finished(now, ticket)
    }

    /// Refuses queued requests that can no longer start in time and starts those that
    /// can.
    pub fn tick(&mut self, now: Timestamp) -> AdmissionChange {
        let mut change = AdmissionChange::default();
        for account in self.accounts.backlogged() {
            self.shed(now, &account, &mut change);
        }
        self.start_waiting(now, &mut change);
        change
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns the number of requests in progress of one account.
    #[must_use]
    pub fn in_progress_of(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(0, |q| q.in_progress)
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued
    }

    fn check(&self, now: Timestamp, req: &AdmissionRequest<'_>) -> Result<(), AdmissionRefusal> {
        if self.accounts.get(req.account).is_none() {
            return Err(AdmissionRefusal::UnknownAccount(req.account.clone()));
        }
        if now >= req.deadline {
            return Err(AdmissionRefusal::DeadlinePassed(req.account.clone()));
        }
        Ok(())
    }

    fn accept(&mut self, now: Timestamp, req: &AdmissionRequest<'_>) -> AdmissionOutcome {
        self.accounts.catch_up(now, req.account);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.can_start_immediately(req.account) {
            self.start(now, ticket, req.account);
            return AdmissionOutcome::Admitted(ticket);
        }
        match self.enqueue(now, ticket, req) {
            Ok(()) => AdmissionOutcome::Queued(ticket),
            Err(refusal) => AdmissionOutcome::Refused(refusal),
        }
    }

    fn can_start_immediately(&self, account: &AccountId) -> bool {
        let free = self.in_progress < self.capacity;
        let queue = self.accounts.get(account);
        free && queue.is_some_and(|q| q.queued() == 0 && q.in_progress < q.max_concurrent)
    }

    fn enqueue(
        &mut self,
        now: Timestamp,
        ticket: Ticket,
        req: &AdmissionRequest<'_>,
    ) -> Result<(), AdmissionRefusal> {
        let account = req.account.clone();
        if self.has_no_capacity(now) {
            let retry_after = self.retry_after(self.settings.initial_service_time);
            return Err(AdmissionRefusal::NoCapacity(account, retry_after));
        }
        let queue = self.accounts.get(req.account);
        let ahead = queue.map_or(0, |q| q.ahead_of(req.priority));
        let wait = match self.capacity {
            // Capacity is expected to return shortly, for example when one group
            // replaces another.
            0 => Duration::ZERO,
            _ => self.expected_wait(now, req.account, ahead),
        };
        let start_by = req.deadline - self.settings.reserve;
        let left = start_by.since(now);
        if wait > left.mul_f64(ACCEPT_WAIT_FRACTION) {
            let retry_after =
                self.retry_after(wait.saturating_sub(left.mul_f64(ACCEPT_WAIT_FRACTION)));
            return Err(AdmissionRefusal::Overloaded(account, wait, retry_after));
        }
        if self.queued >= self.settings.max_queued {
            let retry_after = self.retry_after(wait);
            return Err(AdmissionRefusal::QueueFull(account, retry_after));
        }
        let waiting = QueuedRequest {
            ticket,
            queued_at: now,
            start_by,
            deadline: req.deadline,
        };
        if let Some(queue) = self.accounts.get_mut(req.account) {
            queue.push(req.priority, waiting);
        }
        self.waiting.insert(ticket, account);
        self.queued += 1;
        Ok(())
    }

    fn start(&mut self, now: Timestamp, ticket: Ticket, account: &AccountId) {
        if self.in_progress == 0 {
            self.drain.resumed(now);
        }
        if let Some(queue) = self.accounts.get_mut(account) {
            queue.start(now);
        }
        self.in_progress += 1;
        let running = RunningRequest {
            account: account.clone(),
            started_at: now,
        };
        self.running.insert(ticket, running);
    }

    fn start_waiting(&mut self, now: Timestamp, change: &mut AdmissionChange) {
        while self.in_progress < self.capacity {
            let step = self.settings.aging_step;
            let Some(account) = self.accounts.pick_next(now, self.capacity, step) else {
                return;
            };
            let queue = self.accounts.get_mut(&account);
            let Some(waiting) = queue.and_then(|q| q.pop(now, step)) else {
                return;
            };
            self.waiting.remove(&waiting.ticket);
            self.queued -= 1;
            if now >= waiting.start_by {
                let refusal = AdmissionRefusal::DeadlinePassed(account.clone());
                change
                    .refused
                    .push(refused(waiting.ticket, &account, refusal));
                continue;
            }
            self.start(now, waiting.ticket, &account);
            change.started.push(StartedTicket {
                ticket: waiting.ticket,
                account,
                deadline: waiting.deadline,
                waited: now.since(waiting.queued_at),
            });
        }
    }

    /// Estimates the wait of a request of an account with `ahead` requests before it.
    fn expected_wait(&self, now: Timestamp, account: &AccountId, ahead: usize) -> Duration {
        let slots = self.accounts.expected_slots(account, self.capacity);
        let gap = self.drain.gap_secs(now, self.capacity) * f64::from(self.capacity) / slots;
        let wait = gap * (ahead + 1) as f64;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    /// Returns whether there has been no capacity for at least the grace period.
    fn has_no_capacity(&self, now: Timestamp) -> bool {
        let grace = self.settings.zero_capacity_grace;
        let zero_for = self.zero_capacity_since.map(|since| now.since(since));
        self.capacity == 0 && zero_for.is_none_or(|zero_for| zero_for >= grace)
    }

    fn shed(&mut self, now: Timestamp, account: &AccountId, change: &mut AdmissionChange) {
        let first = self.expected_wait(now, account, 0).as_secs_f64();
        let no_capacity = self.has_no_capacity(now);
        let suspended = self.capacity == 0 && !no_capacity;
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        let dropped = queue.retain(|ahead, waiting| {
            let left = waiting.start_by.since(now).as_secs_f64();
            let wait = if suspended {
                0.0
            } else {
                first * (ahead + 1) as f64
            };
            left > 0.0 && !no_capacity && wait <= left * KEEP_WAIT_FRACTION
        });
        for waiting in dropped {
            self.waiting.remove(&waiting.ticket);
            self.queued -= 1;
            let left = waiting.start_by.since(now);
            let refusal = if no_capacity {
                let retry_after = self.retry_after(self.settings.initial_service_time);
                AdmissionRefusal::NoCapacity(account.clone(), retry_after)
            } else if left.is_zero() {
                AdmissionRefusal::DeadlinePassed(account.clone())
            } else {
                let wait = Duration::try_from_secs_f64(first).unwrap_or(Duration::MAX);
                let retry_after = self.retry_after(wait);
                AdmissionRefusal::Overloaded(account.clone(), wait, retry_after)
            };
            change
                .refused
                .push(refused(waiting.ticket, account, refusal));
        }
    }

    fn refuse_all(
        &mut self,
        account: &AccountId,
        mut queue: AccountQueue,
        change: &mut AdmissionChange,
    ) {
        for waiting in queue.retain(|_, _| false) {
            self.waiting.remove(&waiting.ticket);
            self.queued -= 1;
            let refusal = AdmissionRefusal::UnknownAccount(account.clone());
            change
                .refused
                .push(refused(waiting.ticket, account, refusal));
        }
    }

    fn retry_after(&mut self, wait: Duration) -> Duration {
        let settings = &self.settings;
        let wait = wait.clamp(settings.min_retry_after, settings.max_retry_after);
        wait.mul_f64(1.0 + settings.jitter * self.rng.random::<f64>())
    }
}

fn refused(ticket: Ticket, account: &AccountId, refusal: AdmissionRefusal) -> RefusedTicket {
    RefusedTicket {
        ticket,
        account: account.clone(),
        refusal,
    }
}
