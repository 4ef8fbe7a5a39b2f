//! Reading of a group's stream and delivery to the caller.

use futures::StreamExt;
use geranium_core::route::{Dispatch, RouteChoice};
use geranium_core::stream::{ChunkBody, Delivery, FinishReason, StreamChunk, StreamEnd};
use geranium_core::time::Timestamp;
use geranium_engine::{CompletionEvent, CompletionPiece, CompletionStream, EngineError, Resume};

use super::RelayJob;
use super::attempt;
use super::attempt_end::{AttemptEnd, CHECK_INTERVAL, check};
use super::chunk::read_piece;
use super::output::ReaderGone;
use crate::caller::refusal;

impl RelayJob {
    /// Opens the stream, unless the attempt is given up before the group accepts.
    pub(super) async fn open(
        &mut self,
        now: Timestamp,
        choice: &RouteChoice,
        resume: Option<Resume>,
    ) -> Result<Result<CompletionStream, EngineError>, AttemptEnd> {
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        let opening = attempt::open(&self.node, now, &self.req, choice, resume);
        tokio::pin!(opening);
        loop {
            tokio::select! {
                opened = &mut opening => return Ok(opened),
                () = self.output.left() => return Err(AttemptEnd::ReaderGone),
                _ = checks.tick() => {
                    if let Some(end) = check(&self.node, &self.req, choice, now, 0) {
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
        from: u64,
        opened_at: Timestamp,
    ) -> AttemptEnd {
        let mut heard_at = opened_at;
        let mut tokens = 0_u64;
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        loop {
            let event = tokio::select! {
                event = stream.next() => event,
                () = self.output.left() => return AttemptEnd::ReaderGone,
                _ = checks.tick() => match check(&self.node, &self.req, choice, heard_at, tokens) {
                    Some(end) => return end,
                    None => continue,
                }
            };
            heard_at = self.node.clock.now();
            match event {
                None => return AttemptEnd::Broken("the stream ended without its end".to_owned()),
                Some(Err(e)) => return AttemptEnd::Broken(e.to_string()),
                Some(Ok(CompletionEvent::Done)) => return self.finish_at_marker().await,
                Some(Ok(CompletionEvent::Piece(piece))) => {
                    tokens += 1;
                    if tokens == 1 {
                        // The request is past the point at which a group crashed.
                        self.trial = None;
                        self.note_first_token(choice, dispatch, opened_at, heard_at);
                    }
                    if let Err(end) = self.take_in(piece, from).await {
                        return end;
                    }
                }
            }
        }
    }

    async fn take_in(&mut self, piece: CompletionPiece, from: u64) -> Result<(), AttemptEnd> {
        let Some(sequence) = piece.index.checked_sub(from) else {
            return Ok(());
        };
        let body = match read_piece(&piece) {
            Ok(body) => self.rebased(body),
            Err(e) => return Err(AttemptEnd::Broken(format!("a chunk is not JSON: {e}"))),
        };
        if piece.index >= self.assembler.tokens() + self.offset {
            self.raw.insert(piece.index, piece.data);
        }
        self.assembler.accept(StreamChunk {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence,
            body,
        });
        self.deliver().await
    }

    /// Counts tokens from the caller's part of the answer.
    fn rebased(&self, body: ChunkBody) -> ChunkBody {
        match body {
            ChunkBody::Tokens { first, count, text } => ChunkBody::Tokens {
                first: first.saturating_sub(self.offset),
                count,
                text,
            },
            ChunkBody::End { tokens, reason } => ChunkBody::End {
                tokens: tokens.saturating_sub(self.offset),
                reason,
            },
            other => other,
        }
    }

    async fn deliver(&mut self) -> Result<(), AttemptEnd> {
        while let Some(delivery) = self.assembler.take() {
            match delivery {
                Delivery::Tokens { first, text, .. } => {
                    let index = first + self.offset;
                    let data = self.raw.remove(&index).unwrap_or_default();
                    let sent = self.output.piece(index, &data, &text).await;
                    sent.map_err(|ReaderGone| AttemptEnd::ReaderGone)?;
                    self.node.metrics.tokens.inc();
                }
                Delivery::End(end) => self.ended(end).await?,
                Delivery::Error(e) => return Err(AttemptEnd::Failed(refusal::stream(&e))),
            }
        }
        Ok(())
    }

    async fn ended(&mut self, end: StreamEnd) -> Result<(), AttemptEnd> {
        let index = end.tokens + self.offset;
        let last = self.raw.remove(&index).map(|data| (index, data));
        let sent = self.output.end(last, end.tokens, end.reason).await;
        sent.map_err(|ReaderGone| AttemptEnd::ReaderGone)?;
        Err(AttemptEnd::Whole)
    }

    /// Ends an answer whose engine sent the end marker without a reason.
    async fn finish_at_marker(&mut self) -> AttemptEnd {
        if !self.raw.is_empty() {
            // Pieces wait for one that never came: the answer has a hole.
            return AttemptEnd::Broken("a piece is missing before the end marker".to_owned());
        }
        let end = ChunkBody::End {
            tokens: self.assembler.tokens(),
            reason: FinishReason::Stop,
        };
        let accepted = self.assembler.accept(StreamChunk {
            request: self.req.request.clone(),
            attempt: self.assembler.attempt(),
            sequence: self.assembler.next_sequence(),
            body: end,
        });
        log::debug!("end marker without a reason: {accepted:?}");
        match self.deliver().await {
            Err(end) => end,
            Ok(()) => AttemptEnd::Broken("the end marker came too early".to_owned()),
        }
    }

    fn note_first_token(
        &self,
        choice: &RouteChoice,
        dispatch: &mut Dispatch,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        self.node
            .traffic
            .first_token(now, choice, dispatch, now.since(opened_at));
        if !self.req.forwarded {
            self.node
                .metrics
                .first_token
                .observe(now.since(self.accepted_at).as_secs_f64());
        }
    }
}
