//! One completion.

use std::sync::Arc;
use std::time::Duration;

use geranium_engine::{ChatRequest, block_hashes};
use quick_error::quick_error;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::SlotGuard;
use super::core::EngineCore;
use super::registry::SessionId;
use super::text::TokenSeed;

/// Most tokens in one write.
const MAX_BURST: u64 = 64;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

quick_error! {
    /// Why a completion ends early.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum EarlyEnd {
        /// The engine failed.
        Cut {
            display("the engine failed")
        }
        /// The completion was cancelled.
        Cancelled {
            display("the completion was cancelled")
        }
        /// The deadline has passed.
        Expired {
            display("the deadline has passed")
        }
    }
}

/// What a completion is about.
pub(super) struct SessionSpec {
    pub request: String,
    pub priority: u8,
    pub deadline: Instant,
    pub chat: ChatRequest,
    pub weights: String,
    pub version: String,
}

/// What a whole answer tells besides the text.
pub(super) struct SessionFacts {
    pub request: String,
    pub model: String,
    pub prompt_tokens: u64,
    pub completion_tokens: u64,
}

/// A completion that waits or runs; dropping it frees what it holds.
pub(super) struct Session {
    core: Arc<EngineCore>,
    id: SessionId,
    spec: SessionSpec,
    prompt: String,
    seed: TokenSeed,
    next: u64,
    end: u64,
    due: Instant,
    slot: Option<SlotGuard>,
    kv_tokens: u64,
    cut: CancellationToken,
    cancel: CancellationToken,
    ended: bool,
}

/// Tokens that are due.
pub(super) struct Burst {
    pub first: u64,
    pub after_last: u64,
}

impl Session {
    pub fn new(core: Arc<EngineCore>, spec: SessionSpec) -> Self {
        let prompt = spec.chat.prompt();
        let seed = TokenSeed::new(&spec.weights, &spec.version, &prompt);
        let (id, cancel) = core.requests.lock().add(&spec.request);
        let end = u64::from(spec.chat.max_tokens);
        let resume = spec.chat.resume.as_ref();
        Self {
            prompt,
            seed,
            next: resume.map_or(0, |resume| resume.from_index.min(end)),
            end,
            due: Instant::now(),
            slot: None,
            kv_tokens: 0,
            cut: core.cut_signal(),
            cancel,
            ended: false,
            id,
            core,
            spec,
        }
    }

    /// Returns whether the caller wants a stream.
    pub const fn is_streamed(&self) -> bool {
        self.spec.chat.stream
    }

    /// Returns what a whole answer tells besides the text.
    pub fn facts(&self) -> SessionFacts {
        SessionFacts {
            request: self.spec.request.clone(),
            model: self.spec.chat.model.clone(),
            prompt_tokens: self.prompt.len() as u64 / BYTES_PER_TOKEN,
            completion_tokens: self.end,
        }
    }

    /// Returns the engine that runs the completion.
    pub fn core(&self) -> &EngineCore {
        &self.core
    }

    /// Returns the seed of the tokens.
    pub const fn seed(&self) -> TokenSeed {
        self.seed
    }

    /// Returns whether the completion has ended.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Waits for the next tokens; `None` after the last one.
    pub async fn next_burst(&mut self) -> Result<Option<Burst>, EarlyEnd> {
        let outcome = self.try_next_burst().await;
        if let Err(e) = &outcome {
            self.end_early(*e);
        }
        outcome
    }

    async fn try_next_burst(&mut self) -> Result<Option<Burst>, EarlyEnd> {
        if self.slot.is_none() {
            self.start().await?;
        }
        if self.next == self.end {
            return Ok(None);
        }
        let (core, due) = (self.core.clone(), self.due);
        let next = async move {
            tokio::time::sleep_until(due).await;
            core.wait_moving().await
        };
        if self.bounded(next).await? {
            // Tokens that a pause kept back come one at a time after it.
            self.due = Instant::now();
        }
        Ok(Some(self.take_burst()))
    }

    /// Takes the tokens that are due by now; a late wake-up makes up for lost time.
    fn take_burst(&mut self) -> Burst {
        let token_time = self.core.token_time();
        let late = Instant::now().saturating_duration_since(self.due);
        let due = match token_time.as_nanos() {
            0 => MAX_BURST,
            nanos => 1 + u64::try_from(late.as_nanos() / nanos).unwrap_or(MAX_BURST),
        };
        let count = due.min(MAX_BURST).min(self.end - self.next);
        self.due += token_time * u32::try_from(count).unwrap_or(1);
        let first = self.next;
        self.next += count;
        self.core.stats.lock().tokens += count;
        Burst {
            first,
            after_last: self.next,
        }
    }

    /// Waits for a slot and reads the prompt.
    async fn start(&mut self) -> Result<(), EarlyEnd> {
        let slot = self.core.slots.acquire(self.spec.priority);
        self.core.record_load();
        let slot = self.bounded(slot).await?;
        self.slot = Some(slot);
        self.kv_tokens = self.prompt.len() as u64 / BYTES_PER_TOKEN + self.end;
        self.core.change_kv(self.kv_tokens, 0);
        self.core.record_load();
        self.count_start();
        if self.crashes_engine() {
            self.core.stats.lock().crashes += 1;
            self.core.fail_over();
            return Err(EarlyEnd::Cut);
        }
        self.due = Instant::now() + self.read_prompt() + self.core.token_time();
        Ok(())
    }

    fn count_start(&self) {
        let mut stats = self.core.stats.lock();
        stats.executions += 1;
        let Some(resume) = &self.spec.chat.resume else {
            return;
        };
        stats.resumed += 1;
        if resume.text != self.seed.text(resume.from_index.min(self.end)) {
            stats.resume_mismatches += 1;
        }
    }

    fn crashes_engine(&self) -> bool {
        let marker = self.core.cfg.crash_marker.as_ref();
        marker.is_some_and(|marker| self.prompt.contains(marker.as_str()))
    }

    /// Puts the blocks of the prompt into the prefix cache and returns the time
    /// that those take which were not there.
    fn read_prompt(&self) -> Duration {
        let now = self.core.now();
        let mut cache = self.core.cache.lock();
        let missed = block_hashes(self.prompt.as_bytes())
            .filter(|block| !cache.touch(*block, now))
            .count();
        self.core.cfg.prefill_time * u32::try_from(missed).unwrap_or(u32::MAX)
    }

    /// Waits for something as long as the completion may run.
    async fn bounded<T>(&self, wait: impl Future<Output = T>) -> Result<T, EarlyEnd> {
        tokio::select! {
            biased;
            () = self.cut.cancelled() => Err(EarlyEnd::Cut),
            () = self.cancel.cancelled() => Err(EarlyEnd::Cancelled),
            () = tokio::time::sleep_until(self.spec.deadline) => Err(EarlyEnd::Expired),
            outcome = wait => Ok(outcome),
        }
    }

    /// Ends the completion as whole.
    pub fn finish(&mut self) {
        self.core.stats.lock().completed += 1;
        let mut state = self.core.state.lock();
        state.finish_request(self.core.cfg.warm_after);
        drop(state);
        self.release();
    }

    fn end_early(&mut self, reason: EarlyEnd) {
        {
            let mut stats = self.core.stats.lock();
            match reason {
                EarlyEnd::Cut => stats.cut += 1,
                EarlyEnd::Cancelled => stats.cancelled += 1,
                EarlyEnd::Expired => stats.expired += 1,
            }
        }
        self.release();
    }

    fn release(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.core.requests.lock().remove(self.id);
        self.core.change_kv(0, self.kv_tokens);
        self.slot = None;
        self.core.record_load();
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if !self.ended {
            self.end_early(EarlyEnd::Cancelled);
        }
    }
}
