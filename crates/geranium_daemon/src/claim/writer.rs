//! Writes claims to the store, several in one transaction.

use std::sync::Arc;

use geranium_core::collections::HashMap;
use geranium_core::once::{Batch, BatchConfig, BatchOutcome, BatchWrite, ClaimBatcher, ClaimInput};
use geranium_platform::{CasOutcome, KvStore, StoreError, Swap};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::driver::parse_stored_claim;
use geranium_telemetry::ProcessClock;

/// Transactions per second that claims of all entry hosts may use at the platform's store.
const CLAIM_TRANSACTIONS_PER_S: f64 = 200.0;

/// Minimum number of transactions per second for one entry host.
const MIN_TRANSACTIONS_PER_S: f64 = 1.0;

struct WriterState {
    batcher: ClaimBatcher,
    /// Channels for the outcome of each write, by call and operation.
    outcome_channels: HashMap<(u64, u64), mpsc::UnboundedSender<ClaimInput>>,
    wake_scheduled: bool,
}

/// Writes claims to the store, several in one transaction.
pub struct ClaimWriter<S> {
    store: S,
    clock: ProcessClock,
    state: Mutex<WriterState>,
}

impl<S: KvStore> ClaimWriter<S> {
    /// Creates a writer with an empty queue.
    pub fn new(store: S, clock: ProcessClock) -> Self {
        let state = WriterState {
            batcher: ClaimBatcher::new(BatchConfig::default()),
            outcome_channels: HashMap::default(),
            wake_scheduled: false,
        };
        Self {
            store,
            clock,
            state: Mutex::new(state),
        }
    }

    /// Calls `decide` with the batcher, which admits calls to the queue.
    pub fn with_batcher<T>(&self, decide: impl FnOnce(&mut ClaimBatcher) -> T) -> T {
        decide(&mut self.state.lock().batcher)
    }

    /// Sets the rate of this entry host to an equal share of the total rate.
    pub fn share_rate(&self, entry_hosts: usize) {
        let share = CLAIM_TRANSACTIONS_PER_S / entry_hosts.max(1) as f64;
        let now = self.clock.now();
        self.state
            .lock()
            .batcher
            .set_rate(now, share.max(MIN_TRANSACTIONS_PER_S));
    }

    /// Queues a write; its outcome is sent to `tx`.
    pub fn push(self: &Arc<Self>, write: BatchWrite, tx: mpsc::UnboundedSender<ClaimInput>) {
        let mut state = self.state.lock();
        state.outcome_channels.insert((write.call, write.op), tx);
        state.batcher.push(write);
        drop(state);
        self.send_due_batches();
    }

    /// Sends the batches that are due and schedules a wake-up for when the rate allows more.
    fn send_due_batches(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        while let Some(batch) = state.batcher.next_batch(now) {
            let writer = self.clone();
            tokio::spawn(async move { writer.commit_batch(batch).await });
        }
        let Some(at) = state.batcher.next_wake().filter(|_| !state.wake_scheduled) else {
            return;
        };
        state.wake_scheduled = true;
        let writer = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(at.since(now)).await;
            writer.state.lock().wake_scheduled = false;
            writer.send_due_batches();
        });
    }

    async fn commit_batch(self: Arc<Self>, batch: Batch) {
        let swaps = batch.writes.iter().map(|write| Swap {
            key: write.key.clone(),
            expected: write.expected,
            value: Some(write.value.clone()),
            lease: None,
        });
        let outcome = batch_outcome(self.store.transact(swaps.collect()).await);
        let mut state = self.state.lock();
        for result in state.batcher.finish(batch.id, outcome) {
            if let Some(tx) = state.outcome_channels.remove(&(result.call, result.op)) {
                let outcome = result.outcome;
                // The receiver is closed if the call has ended.
                let _ = tx.send(ClaimInput::Written {
                    op: result.op,
                    outcome,
                });
            }
        }
        drop(state);
        self.send_due_batches();
    }
}

fn batch_outcome(outcome: Result<CasOutcome, StoreError>) -> BatchOutcome {
    match outcome {
        Ok(CasOutcome::Applied(revision)) => BatchOutcome::Applied(revision),
        Ok(CasOutcome::Conflict(values)) => {
            let present = values
                .iter()
                .map(|value| (value.key.clone(), parse_stored_claim(value)));
            BatchOutcome::Conflict(present.collect())
        }
        Err(e) if e.may_have_taken_effect() => BatchOutcome::Ambiguous,
        Err(_) => BatchOutcome::NoEffect,
    }
}
