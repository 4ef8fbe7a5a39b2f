//! The batcher of claim writes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{Batch, BatchConfig, BatchId, BatchOutcome, BatchWrite, WriteResult};
use crate::collections::{HashMap, HashSet};
use crate::once::budget::TokenBucket;
use crate::once::{ClaimAdmission, StoredClaim, WriteOutcome};
use crate::time::Timestamp;

/// Combines several claim writes into one store transaction.
///
/// A transaction is sent when it is full, or as soon as no other one is in flight,
/// provided that the rate limit allows it. Writes that arrive in the meantime share
/// the next transaction; no write is delayed just to fill a transaction.
///
/// If some writes of a transaction conflict, the remaining ones are sent again
/// without them; each call receives only the outcome of its own write.
///
/// # Examples
///
/// ```
/// # use geranium_core::once::*;
/// # use geranium_core::prelude::*;
/// # let now = Timestamp::from_millis(1_000);
/// # let write = |call: u64| BatchWrite {
/// #     call,
/// #     op: 1,
/// #     key: format!("/geranium/claims/account/{call}"),
/// #     value: "{}".into(),
/// #     expected: StoreRevision(0),
/// # };
/// let mut batcher = ClaimBatcher::new(BatchConfig::default());
/// batcher.push(write(1));
/// let first = batcher.next_batch(now).expect("no transaction is in flight");
/// batcher.push(write(2));
/// batcher.push(write(3));
/// assert_eq!(batcher.next_batch(now), None);
///
/// batcher.finish(first.id, BatchOutcome::Applied(StoreRevision(5)));
///
/// let second = batcher.next_batch(now).expect("no transaction is in flight");
/// assert_eq!(second.writes.len(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    cfg: BatchConfig,
    bucket: TokenBucket,
    queue: VecDeque<BatchWrite>,
    in_flight: BTreeMap<BatchId, Vec<BatchWrite>>,
    last_id: BatchId,
    next_allowed: Option<Timestamp>,
}

impl ClaimBatcher {
    /// Creates a batcher with an empty queue.
    #[must_use]
    pub fn new(cfg: BatchConfig) -> Self {
        Self {
            cfg,
            bucket: TokenBucket::new(cfg.transactions_per_second, cfg.burst.max(1.0)),
            queue: VecDeque::new(),
            in_flight: BTreeMap::new(),
            last_id: 0,
            next_allowed: None,
        }
    }

    /// Sets this host's share of the platform's rate limit, in transactions per second.
    pub fn set_rate(&mut self, now: Timestamp, transactions_per_second: f64) {
        self.bucket.set_rate(now, transactions_per_second);
    }

    /// Enqueues a write.
    pub fn push(&mut self, write: BatchWrite) {
        self.queue.push_back(write);
    }

    /// Returns the number of writes that are waiting for a transaction.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the next transaction to send, if any; the driver calls this until it
    /// returns `None`.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        let sender_idle = self.in_flight.is_empty();
        let full = self.queue.len() >= self.cfg.max_writes;
        let room = self.in_flight.len() < self.cfg.max_in_flight;
        if self.queue.is_empty() || !room || !(sender_idle || full) {
            return None;
        }
        if let Err(wait) = self.bucket.take(now, 1.0) {
            self.next_allowed = Some(now + wait);
            return None;
        }
        self.next_allowed = None;
        self.last_id += 1;
        let writes = self.take_writes();
        self.in_flight.insert(self.last_id, writes.clone());
        Some(Batch {
            id: self.last_id,
            writes,
        })
    }

    /// Returns the time at which the rate limit allows the next transaction, if one
    /// is waiting for it.
    #[must_use]
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.queue.is_empty() {
            return None;
        }
        self.next_allowed
    }

    /// Processes the outcome of a transaction and returns the outcomes of its writes.
    ///
    /// After a conflict, the writes that did not conflict are queued again.
    pub fn finish(&mut self, id: BatchId, outcome: BatchOutcome) -> Vec<WriteResult> {
        let Some(writes) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        match outcome {
            BatchOutcome::Applied(revision) => {
                same_result(writes, &WriteOutcome::Applied(revision))
            }
            BatchOutcome::Ambiguous => same_result(writes, &WriteOutcome::Ambiguous),
            BatchOutcome::NoEffect => same_result(writes, &WriteOutcome::NoEffect),
            BatchOutcome::Conflict(present) => self.split_conflicts(writes, present),
        }
    }

    /// Takes the oldest writes that fit into one transaction; a second write for the
    /// same key stays in the queue.
    fn take_writes(&mut self) -> Vec<BatchWrite> {
        let mut writes = Vec::new();
        let mut keys = HashSet::default();
        let mut bytes = 0;
        let mut deferred = VecDeque::new();
        while let Some(write) = self.queue.pop_front() {
            let fits = writes.is_empty()
                || (writes.len() < self.cfg.max_writes
                    && bytes + write.value.len() <= self.cfg.max_bytes);
            if !fits {
                deferred.push_back(write);
                break;
            }
            if keys.insert(write.key.clone()) {
                bytes += write.value.len();
                writes.push(write);
            } else {
                deferred.push_back(write);
            }
        }
        deferred.append(&mut self.queue);
        self.queue = deferred;
        writes
    }

    fn split_conflicts(
        &mut self,
        writes: Vec<BatchWrite>,
        present: Vec<(String, StoredClaim)>,
    ) -> Vec<WriteResult> {
        let mut present: HashMap<String, StoredClaim> = present.into_iter().collect();
        let mut results = Vec::new();
        let mut unaffected = Vec::new();
        for write in writes {
            let found = present.remove(&write.key);
            let revision = found.as_ref().map(|stored| stored.revision);
            if revision.unwrap_or_default() == write.expected {
                unaffected.push(write);
            } else {
                results.push(write_result(write, WriteOutcome::Conflict(found)));
            }
        }
        for write in unaffected.into_iter().rev() {
            self.queue.push_front(write);
        }
        results
    }
}

impl ClaimAdmission for ClaimBatcher {
    fn admit(&mut self, _now: Timestamp) -> Result<(), Duration> {
        if self.queue.len() < self.cfg.max_queued {
            return Ok(());
        }
        let transactions = self.queue.len().div_ceil(self.cfg.max_writes.max(1));
        let transactions = u32::try_from(transactions).unwrap_or(u32::MAX);
        Err(self.bucket.refill_time(f64::from(transactions)))
    }
}

fn same_result(writes: Vec<BatchWrite>, outcome: &WriteOutcome) -> Vec<WriteResult> {
    let to_result = |write| write_result(write, outcome.clone());
    writes.into_iter().map(to_result).collect()
}

fn write_result(write: BatchWrite, outcome: WriteOutcome) -> WriteResult {
    WriteResult {
        call: write.call,
        op: write.op,
        outcome,
    }
}
