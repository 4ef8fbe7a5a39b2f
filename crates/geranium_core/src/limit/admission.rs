//! Admission of requests to one model on one entry host.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::account_queue::{AccountQueue, QueuedRequest};
use super::account_shares::AccountShares;
use super::drain::DrainRate;
use super::{
    AccountLimit, AdmissionChange, AdmissionOutcome, AdmissionRefusal, AdmissionRequest,
    AdmissionSettings, StartedTicket, Ticket,
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
        self.waiting.len()
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
        let start_by = req.deadline - self.settings.reserve;
        self.check_queue(now, req, start_by)?;
        let waiting = QueuedRequest {
            ticket,
            queued_at: now,
            start_by,
            deadline: req.deadline,
        };
        if let Some(queue) = self.accounts.get_mut(req.account) {
            queue.push(req.priority, waiting);
        }
        self.waiting.insert(ticket, req.account.clone());
        Ok(())
    }

    /// Checks whether a request can be expected to start by `start_by` if it is queued now.
    fn check_queue(
        &mut self,
        now: Timestamp,
        req: &AdmissionRequest<'_>,
        start_by: Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        let account = req.account;
        if self.has_no_capacity(now) {
            return Err(self.no_capacity(account));
        }
        let wait = self.expected_wait_of_new(now, req);
        let acceptable = start_by.since(now).mul_f64(ACCEPT_WAIT_FRACTION);
        if wait > acceptable {
            let retry_after = self.retry_after(wait.saturating_sub(acceptable));
            let refusal = AdmissionRefusal::Overloaded(account.clone(), wait, retry_after);
            return Err(refusal);
        }
        if self.queued() >= self.settings.max_queued {
            let retry_after = self.retry_after(wait);
            return Err(AdmissionRefusal::QueueFull(account.clone(), retry_after));
        }
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
            if now >= waiting.start_by {
                let refusal = AdmissionRefusal::DeadlinePassed(account.clone());
                change.refuse(waiting.ticket, &account, refusal);
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

    /// Estimates the wait of a request that is queued now. It is zero while the capacity is
    /// zero, because capacity is expected to return shortly, for example when one group
    /// replaces another.
    fn expected_wait_of_new(&self, now: Timestamp, req: &AdmissionRequest<'_>) -> Duration {
        if self.capacity == 0 {
            return Duration::ZERO;
        }
        let queue = self.accounts.get(req.account);
        let ahead = queue.map_or(0, |q| q.ahead_of(req.priority));
        self.expected_wait(now, req.account, ahead)
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

    /// Refuses the queued requests of an account that are not expected to start in time.
    fn shed(&mut self, now: Timestamp, account: &AccountId, change: &mut AdmissionChange) {
        let wait = self.expected_wait(now, account, 0);
        for waiting in self.take_late(now, account, wait) {
            self.waiting.remove(&waiting.ticket);
            let refusal = self.late_refusal(now, account, &waiting, wait);
            change.refuse(waiting.ticket, account, refusal);
        }
    }

    /// Takes the requests that are not expected to start in time out of the queue of an
    /// account. `wait` is the expected wait of its first request.
    fn take_late(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        wait: Duration,
    ) -> Vec<QueuedRequest> {
        let no_capacity = self.has_no_capacity(now);
        // Zero capacity is expected to end within the grace period.
        let wait_per_request = match self.capacity {
            0 => 0.0,
            _ => wait.as_secs_f64(),
        };
        let Some(queue) = self.accounts.get_mut(account) else {
            return Vec::new();
        };
        queue.retain(|ahead, waiting| {
            let left = waiting.start_by.since(now).as_secs_f64();
            let wait = wait_per_request * (ahead + 1) as f64;
            left > 0.0 && !no_capacity && wait <= left * KEEP_WAIT_FRACTION
        })
    }

    /// Returns the refusal of a queued request that is not expected to start in time.
    fn late_refusal(
        &mut self,
        now: Timestamp,
        account: &AccountId,
        waiting: &QueuedRequest,
        wait: Duration,
    ) -> AdmissionRefusal {
        if self.has_no_capacity(now) {
            return self.no_capacity(account);
        }
        if waiting.start_by.since(now).is_zero() {
            return AdmissionRefusal::DeadlinePassed(account.clone());
        }
        let retry_after = self.retry_after(wait);
        AdmissionRefusal::Overloaded(account.clone(), wait, retry_after)
    }

    fn no_capacity(&mut self, account: &AccountId) -> AdmissionRefusal {
        let retry_after = self.retry_after(self.settings.initial_service_time);
        AdmissionRefusal::NoCapacity(account.clone(), retry_after)
    }

    fn refuse_all(
        &mut self,
        account: &AccountId,
        mut queue: AccountQueue,
        change: &mut AdmissionChange,
    ) {
        for waiting in queue.retain(|_, _| false) {
            self.waiting.remove(&waiting.ticket);
            let refusal = AdmissionRefusal::UnknownAccount(account.clone());
            change.refuse(waiting.ticket, account, refusal);
        }
    }

    fn retry_after(&mut self, wait: Duration) -> Duration {
        let settings = &self.settings;
        let wait = wait.clamp(settings.min_retry_after, settings.max_retry_after);
        wait.mul_f64(1.0 + settings.jitter * self.rng.random::<f64>())
    }
}
