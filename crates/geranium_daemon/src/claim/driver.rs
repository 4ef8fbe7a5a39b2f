//! Executes the effects of one claimed call.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_core::once::{
    BatchWrite, Claim, ClaimAnswer, ClaimCall, ClaimEffect, ClaimHolder, ClaimInput, OpId,
    ReadOutcome, StoredClaim, UpstreamOutcome,
};
use geranium_core::time::Timestamp;
use geranium_platform::{KvStore, StoredValue};
use tokio::sync::{mpsc, oneshot};

use super::service::{ClaimService, HolderDirectory, UpstreamCall};

/// Maximum time between two ticks of a call.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Drives one claimed call to its end.
pub struct ClaimDriver<S, D, U> {
    service: Arc<ClaimService<S, D>>,
    call: ClaimCall,
    nonce: u64,
    upstream: Option<U>,
    answer: Option<oneshot::Sender<ClaimAnswer>>,
    tx: mpsc::UnboundedSender<ClaimInput>,
    rx: mpsc::UnboundedReceiver<ClaimInput>,
    returned_upstream: (mpsc::UnboundedSender<U>, mpsc::UnboundedReceiver<U>),
}

impl<S: KvStore, D: HolderDirectory, U: UpstreamCall> ClaimDriver<S, D, U> {
    /// Creates a driver that sends the answer of the call to `answer`.
    pub fn new(
        service: Arc<ClaimService<S, D>>,
        (call, nonce): (ClaimCall, u64),
        upstream: U,
        answer: oneshot::Sender<ClaimAnswer>,
    ) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        Self {
            service,
            call,
            nonce,
            upstream: Some(upstream),
            answer: Some(answer),
            tx,
            rx,
            returned_upstream: mpsc::unbounded_channel(),
        }
    }

    /// Executes effects until the call has ended.
    pub async fn run(mut self, effects: Vec<ClaimEffect>) {
        self.apply_effects(effects);
        while !self.call.is_ended() {
            let input = self.next_input().await;
            let effects = self.call.step(self.service.clock.now(), input);
            self.apply_effects(effects);
        }
    }

    async fn next_input(&mut self) -> ClaimInput {
        let now = self.service.clock.now();
        let wake = self.call.next_wake();
        let sleep = wake.map_or(MAX_SLEEP, |wake| wake.since(now).min(MAX_SLEEP));
        tokio::select! {
            Some(input) = self.rx.recv() => input,
            () = tokio::time::sleep(sleep) => ClaimInput::Tick,
        }
    }

    fn apply_effects(&mut self, effects: Vec<ClaimEffect>) {
        for effect in effects {
            match effect {
                ClaimEffect::Read { op, key } => self.read(op, key),
                ClaimEffect::Write {
                    op,
                    key,
                    claim,
                    expected,
                } => {
                    self.write(op, key, &claim, expected);
                }
                ClaimEffect::CheckHolder { holder } => self.check_holder(holder),
                ClaimEffect::Dispatch { attempt, before } => self.dispatch(attempt, before),
                ClaimEffect::Answer(answer) => self.answer(answer),
                ClaimEffect::Emit(draft) => self.service.emit(draft),
            }
        }
    }

    fn answer(&mut self, answer: ClaimAnswer) {
        if let Some(tx) = self.answer.take() {
            // The outcome is recorded even if the caller has disconnected.
            let _ = tx.send(answer);
        }
    }

    fn read(&self, op: OpId, key: String) {
        let store = self.service.store.clone();
        let tx = self.tx.clone();
        tokio::spawn(async move {
            let outcome = match store.get(&key).await {
                Ok(value) => ReadOutcome::Found(value.as_ref().map(parse_stored_claim)),
                Err(_) => ReadOutcome::Failed,
            };
            let _ = tx.send(ClaimInput::Read { op, outcome });
        });
    }

    fn write(&self, op: OpId, key: String, claim: &Claim, expected: StoreRevision) {
        let write = BatchWrite {
            call: self.nonce,
            op,
            key,
            value: claim.encode(),
            expected,
        };
        self.service.writer.push(write, self.tx.clone());
    }

    fn check_holder(&self, holder: ClaimHolder) {
        let status = self
            .service
            .directory
            .status(self.service.clock.now(), &holder);
        let _ = self.tx.send(ClaimInput::Holder { holder, status });
    }

    fn dispatch(&mut self, attempt: u32, before: Timestamp) {
        // After a dispatch that sent nothing, the next attempt reuses the returned upstream.
        let upstream = self
            .upstream
            .take()
            .or_else(|| self.returned_upstream.1.try_recv().ok());
        let tx = self.tx.clone();
        let returned_tx = self.returned_upstream.0.clone();
        let Some(mut upstream) = upstream else {
            let outcome = UpstreamOutcome::NotSent;
            let _ = tx.send(ClaimInput::Upstream { attempt, outcome });
            return;
        };
        tokio::spawn(async move {
            let outcome = upstream.send(before).await;
            let _ = returned_tx.send(upstream);
            let _ = tx.send(ClaimInput::Upstream { attempt, outcome });
        });
    }
}

pub(super) fn parse_stored_claim(value: &StoredValue) -> StoredClaim {
    StoredClaim::read(&value.key, &value.value, value.revision)
}
