//! Reads the stream of a group and delivers its tokens to the caller.

use bytes::Bytes;
use futures::StreamExt;
use geranium_core::route::{Dispatch, RouteChoice};
use geranium_core::stream::{ChunkBody, Delivery, FinishReason, StreamChunk, StreamEnd};
use geranium_core::time::Timestamp;
use geranium_engine::{CompletionEvent, CompletionPiece, CompletionStream, EngineError, Resume};

use super::RelayJob;
use super::attempt;
use super::attempt_outcome::{AttemptOutcome, CHECK_INTERVAL, check_attempt};
use super::chunk::parse_chunk;
use super::output_error::OutputError;
use crate::caller::refusal;

impl RelayJob {
    /// Opens the stream, unless the attempt ends before the group accepts it.
    pub(super) async fn open(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        resume: Option<Resume>,
    ) -> Result<Result<CompletionStream, EngineError>, AttemptOutcome> {
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        let open_stream = attempt::open(&self.node, now, &self.req, choice, resume);
        tokio::pin!(open_stream);
        loop {
            tokio::select! {
                opened = &mut open_stream => return Ok(opened),
                () = self.output.closed() => return Err(AttemptOutcome::CallerGone),
                _ = checks.tick() => {
                    if let Some(end) = check_attempt(&self.node, &self.req, choice, now, 0) {
                        return Err(end);
                    }
                }
            }
        }
    }

    /// Reads a group's stream until the attempt ends.
    pub(super) async fn read_stream(
        &mut self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        stream: &mut CompletionStream,
        from_index: u64,
        opened_at: Timestamp,
    ) -> AttemptOutcome {
        let mut last_event_at = opened_at;
        let mut tokens = 0_u64;
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.output.closed() => return AttemptOutcome::CallerGone,
                _ = checks.tick() => match check_attempt(
                    &self.node,
                    &self.req,
                    choice,
                    last_event_at,
                    tokens,
                ) {
                    Some(end) => return end,
                    None => continue,
                }
            };
            last_event_at = self.node.clock.now();
            match event {
                None => return AttemptOutcome::Interrupted("end marker is missing".to_owned()),
                Some(Err(e)) => return AttemptOutcome::Interrupted(e.to_string()),
                Some(Ok(CompletionEvent::Done)) => return self.finish_at_end_marker().await,
                Some(Ok(CompletionEvent::Piece(chunk))) => {
                    tokens += 1;
                    if tokens == 1 {
                        // The request got past the point at which an earlier group crashed.
                        self.trial = None;
                        self.record_first_token(choice, dispatch, opened_at, last_event_at);
                    }
                    if let Err(end) = self.process_chunk(chunk, from_index).await {
                        return end;
                    }
                }
            }
        }
    }

    async fn process_chunk(
        &mut self,
        chunk: CompletionPiece,
        from_index: u64,
    ) -> Result<(), AttemptOutcome> {
        let Some(sequence) = chunk.index.checked_sub(from_index) else {
            return Ok(());
        };
        let body = match parse_chunk(&chunk) {
            Ok(body) => self.rebase(body),
            Err(e) => return Err(AttemptOutcome::Interrupted(format!("invalid chunk: {e}"))),
        };
        if chunk.index >= self.assembler.tokens() + self.token_offset {
            self.pending_data.insert(chunk.index, chunk.data);
        }
        self.assembler.accept(StreamChunk {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence,
            body,
        });
        self.reserve_memory()?;
        self.deliver().await
    }

    /// Reserves the memory of what is kept of the answer, beside the output.
    fn reserve_memory(&mut self) -> Result<(), AttemptOutcome> {
        let pending: usize = self.pending_data.values().map(Bytes::len).sum();
        if self.memory.resize(self.assembler.held_bytes() + pending) {
            return Ok(());
        }
        Err(AttemptOutcome::from(OutputError::NoMemory))
    }

    /// Makes token indexes relative to the first token that this job sends to the caller.
    fn rebase(&self, body: ChunkBody) -> ChunkBody {
        match body {
            ChunkBody::Tokens { first, count, text } => ChunkBody::Tokens {
                first: first.saturating_sub(self.token_offset),
                count,
                text,
            },
            ChunkBody::End { tokens, reason } => ChunkBody::End {
                tokens: tokens.saturating_sub(self.token_offset),
                reason,
            },
            other => other,
        }
    }

    async fn deliver(&mut self) -> Result<(), AttemptOutcome> {
        while let Some(delivery) = self.assembler.take() {
            match delivery {
                Delivery::Tokens { first, text, .. } => {
                    let index = first + self.token_offset;
                    let data = self.pending_data.remove(&index).unwrap_or_default();
                    let sent = self.output.write_chunk(index, &data, &text).await;
                    sent.map_err(AttemptOutcome::from)?;
                    self.node.metrics.tokens.inc();
                }
                Delivery::End(end) => self.finish(end).await?,
                Delivery::Error(e) => return Err(AttemptOutcome::Failed(refusal::stream(&e))),
            }
        }
        Ok(())
    }

    async fn finish(&mut self, end: StreamEnd) -> Result<(), AttemptOutcome> {
        let index = end.tokens + self.token_offset;
        let last = self.pending_data.remove(&index).map(|data| (index, data));
        let sent = self.output.finish(last, end.tokens, end.reason).await;
        sent.map_err(AttemptOutcome::from)?;
        Err(AttemptOutcome::Completed)
    }

    /// Completes an answer whose engine sent the end marker without a finish reason.
    async fn finish_at_end_marker(&mut self) -> AttemptOutcome {
        if !self.pending_data.is_empty() {
            // Buffered chunks still wait for a missing one, so the answer has a gap.
            return AttemptOutcome::Interrupted(
                "a chunk is missing before the end marker".to_owned(),
            );
        }
        let end = ChunkBody::End {
            tokens: self.assembler.tokens(),
            reason: FinishReason::Stop,
        };
        let chunk_outcome = self.assembler.accept(StreamChunk {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence: self.assembler.next_sequence(),
            body: end,
        });
        log::debug!("end marker without a finish reason: {chunk_outcome:?}");
        match self.deliver().await {
            Err(end) => end,
            Ok(()) => AttemptOutcome::Interrupted("the end marker came too early".to_owned()),
        }
    }

    fn record_first_token(
        &self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        self.node
            .traffic
            .record_first_token(now, choice, dispatch, now.since(opened_at));
        if !self.req.forwarded {
            self.node
                .metrics
                .first_token
                .observe(now.since(self.accepted_at).as_secs_f64());
        }
    }
}
