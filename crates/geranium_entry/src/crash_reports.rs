//! Publishes crashes of backend servers to the other entry hosts, through the store and, while
//! it does not answer, by datagrams.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_fleet::crash::Trial;
use geranium_platform::{CasOutcome, KvStore, LeaseId, StoreError, Swap};
use tokio::sync::{mpsc, oneshot};

use crate::crash_record::CrashRecord;
use crate::dialect::Dialect;
use crate::peers::PeerLink;
use crate::state::SharedState;
use crate::store_watcher::back_off;

/// Time for which crash records are kept in the store.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// Age at which the lease of the records is replaced, so that each record lasts long enough.
const MAX_LEASE_AGE: Duration = Duration::from_secs(300);
/// Maximum number of records that wait until the store takes them, and of those that are
/// written again if the store returns from an older copy.
const MAX_RECORDS: usize = 256;
/// Longest delay before other entry hosts are told of an answer. Many entry hosts see such
/// answers at the same time, and the record of the first spares the others theirs.
const MAX_TELL_DELAY: Duration = Duration::from_millis(250);
/// Time that a request waits for the decision on its trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Request to the task that publishes crash records.
pub(crate) enum CrashMessage {
    /// Publishes a record.
    Publish(CrashRecord),
    /// Publishes which suspected subjects were answered.
    TellDisproved,
    /// Tries to win a trial.
    Claim(Trial, oneshot::Sender<bool>),
}

/// Sender of requests to the task that publishes crash records.
#[derive(Clone)]
pub(crate) struct CrashOutbox {
    tx: mpsc::UnboundedSender<CrashMessage>,
}

impl CrashOutbox {
    /// Creates the two ends of the channel to the task.
    pub(crate) fn channel() -> (Self, mpsc::UnboundedReceiver<CrashMessage>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Queues a request.
    pub(crate) fn send(&self, message: CrashMessage) {
        if self.tx.send(message).is_err() {
            log::error!("failed to queue a crash record: the task that publishes them has ended");
        }
    }

    /// Returns whether this entry host has won a trial; false if that can't be found out soon.
    pub(crate) async fn claim(&self, trial: Trial) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(CrashMessage::Claim(trial, tx));
        matches!(tokio::time::timeout(TRIAL_TIMEOUT, rx).await, Ok(Ok(true)))
    }
}

/// Publishes crash records until the process ends.
pub(crate) async fn run<D: Dialect, S: KvStore>(
    shared: Rc<SharedState<D>>,
    store: S,
    peers: Rc<PeerLink>,
    mut rx: mpsc::UnboundedReceiver<CrashMessage>,
) {
    let (queue, records) = mpsc::unbounded_channel();
    let publisher = Rc::new(CrashPublisher {
        shared,
        store,
        peers,
        lease: Cell::new(None),
    });
    tokio::task::spawn_local(publisher.clone().publish_all(records));
    while let Some(message) = rx.recv().await {
        match message {
            CrashMessage::Publish(record) => {
                // Fails only if the other task has ended, which lives as long as this one.
                let _ = queue.send(record);
            }
            CrashMessage::TellDisproved => {
                tokio::task::spawn_local(publisher.clone().tell_disproved(queue.clone()));
            }
            CrashMessage::Claim(trial, reply) => {
                tokio::task::spawn_local(publisher.clone().claim(trial, reply));
            }
        }
    }
}

struct CrashPublisher<D: Dialect, S: KvStore> {
    shared: Rc<SharedState<D>>,
    store: S,
    peers: Rc<PeerLink>,
    /// Lease of the records, with the time at which it was granted.
    lease: Cell<Option<(LeaseId, Timestamp)>>,
}

impl<D: Dialect, S: KvStore> CrashPublisher<D, S> {
    /// Writes records. Those that the store does not take are sent to the other entry hosts
    /// and written later.
    async fn publish_all(self: Rc<Self>, mut records: mpsc::UnboundedReceiver<CrashRecord>) {
        let mut unwritten: VecDeque<CrashRecord> = VecDeque::new();
        let mut written: VecDeque<CrashRecord> = VecDeque::new();
        let mut restores = self.shared.restored_at.subscribe();
        let mut failures = 0;
        loop {
            tokio::select! {
                _ = restores.changed() => {
                    // The copy may lack what was written, and the lease.
                    self.lease.set(None);
                    unwritten.extend(written.drain(..));
                }
                record = records.recv() => {
                    let Some(record) = record else {
                        return;
                    };
                    if unwritten.is_empty() && self.write_or_warn(&record).await {
                        remember(&mut written, record);
                        continue;
                    }
                    self.peers.send_crash_record(&self.shared.cfg.name, &record);
                    unwritten.truncate(MAX_RECORDS - 1);
                    unwritten.push_back(record);
                }
                () = back_off(failures), if !unwritten.is_empty() => {
                    failures += 1;
                    while let Some(record) = unwritten.front()
                        && self.write_or_warn(record).await
                    {
                        if let Some(record) = unwritten.pop_front() {
                            remember(&mut written, record);
                        }
                        failures = 0;
                    }
                }
            }
        }
    }

    /// Writes a record; returns whether the store has taken it.
    async fn write_or_warn(&self, record: &CrashRecord) -> bool {
        let written = self.write(record).await;
        if let Err(e) = &written {
            log::warn!("failed to publish a crash record: {e}");
        }
        written.is_ok()
    }

    /// Queues what the other entry hosts do not know yet, unless one of them was faster.
    async fn tell_disproved(self: Rc<Self>, queue: mpsc::UnboundedSender<CrashRecord>) {
        tokio::time::sleep(MAX_TELL_DELAY.mul_f64(rand::random())).await;
        let counts = self.shared.core.borrow_mut().crashes.take_disproved();
        for count in counts {
            log::info!(subject:% = count.subject, disproved = count.disproved; "suspected subject was answered");
            let _ = queue.send(CrashRecord::Disproved(count));
        }
    }

    async fn claim(self: Rc<Self>, trial: Trial, reply: oneshot::Sender<bool>) {
        let won = match self.write(&CrashRecord::Trial(trial)).await {
            Ok(outcome) => matches!(outcome, CasOutcome::Applied(_)),
            Err(e) => {
                log::warn!(subject:% = trial.subject; "failed to claim a trial: {e}");
                return;
            }
        };
        self.shared.core.borrow_mut().crashes.record_trial(&trial);
        log::info!(subject:% = trial.subject, crashes = trial.crashes, number = trial.number, won = won; "trial of a refused subject");
        // The request may have given up waiting.
        let _ = reply.send(won);
    }

    /// Writes a record. A conflict means that another entry host has written the same.
    async fn write(&self, record: &CrashRecord) -> Result<CasOutcome, StoreError> {
        let Ok(value) = serde_json::to_vec(record) else {
            log::error!(record:? = record; "failed to serialize a crash record");
            return Ok(CasOutcome::Conflict(Vec::new()));
        };
        let name = record.name(&self.shared.cfg.name, rand::random());
        let swap = Swap {
            key: self.shared.dialect.internal_key(&name),
            expected: StoreRevision(0),
            value: Some(Bytes::from(value)),
            lease: Some(self.lease().await?),
        };
        let written = self.store.transact(vec![swap]).await;
        if written.is_err() {
            // The lease may be the cause.
            self.lease.set(None);
        }
        written
    }

    async fn lease(&self) -> Result<LeaseId, StoreError> {
        let now = self.shared.now();
        if let Some((lease, granted_at)) = self.lease.get()
            && now.since(granted_at) < MAX_LEASE_AGE
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(RECORD_TTL).await?;
        self.lease.set(Some((lease, now)));
        Ok(lease)
    }
}

/// Keeps a written record, and drops the oldest one beyond the limit.
fn remember(written: &mut VecDeque<CrashRecord>, record: CrashRecord) {
    if written.len() >= MAX_RECORDS {
        written.pop_front();
    }
    written.push_back(record);
}
