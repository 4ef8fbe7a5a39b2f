//! The assembler of one streamed answer.

use std::collections::{BTreeMap, VecDeque};

use super::{
    ChunkBody, Delivery, FinishReason, ResumePoint, StreamChunk, StreamEnd, StreamError,
    StreamLimits,
};
use crate::id::RequestId;

/// What the assembler did with a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// The chunk was next in order and was appended; if invalid, it ended the stream.
    Appended,
    /// The chunk is buffered until the chunks before it arrive.
    Buffered,
    /// The chunk was dropped: it belongs to another request or attempt, is a
    /// duplicate, came after the end, or overflowed the reorder buffer.
    Dropped,
}

/// A state machine that assembles one answer from its chunks.
///
/// # Examples
///
/// ```
/// # use geranium_core::prelude::*;
/// # use geranium_core::stream::*;
/// let id = RequestId::new("r1");
/// let chunk = |sequence, body| StreamChunk { request: id.clone(), attempt: 1, sequence, body };
/// let mut stream = StreamAssembler::new(id.clone(), StreamLimits::default());
///
/// let end = ChunkBody::End { tokens: 1, reason: FinishReason::Stop };
/// stream.accept(chunk(1, end));
/// assert_eq!(stream.take(), None); // the token before it is still missing
///
/// let token = ChunkBody::Tokens { first: 0, count: 1, text: "hola".into() };
/// stream.accept(chunk(0, token));
/// assert!(matches!(stream.take(), Some(Delivery::Tokens { first: 0, count: 1, .. })));
/// assert!(matches!(stream.take(), Some(Delivery::End(_))));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamAssembler {
    request: RequestId,
    limits: StreamLimits,
    attempt: u32,
    next_sequence: u64,
    tokens: u64,
    /// Text of all assembled tokens; `None` once it exceeds `max_resume_bytes`.
    resume_text: Option<String>,
    text_bytes: usize,
    out_of_order: BTreeMap<u64, ChunkBody>,
    ready: VecDeque<Delivery>,
    ready_bytes: usize,
    ended: bool,
}

impl StreamAssembler {
    /// Creates an assembler that expects the chunks of attempt 1.
    #[must_use]
    pub fn new(request: RequestId, limits: StreamLimits) -> Self {
        Self {
            request,
            limits,
            attempt: 1,
            next_sequence: 0,
            tokens: 0,
            resume_text: Some(String::new()),
            text_bytes: 0,
            out_of_order: BTreeMap::new(),
            ready: VecDeque::new(),
            ready_bytes: 0,
            ended: false,
        }
    }

    /// Returns the current attempt; only its chunks are accepted.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the number of tokens assembled so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the sequence number of the next chunk to append.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns whether the stream has ended, with or without an error.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether less than half of the reader's buffer is in use; the driver
    /// stops reading from the replica otherwise.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.ready_bytes < self.limits.max_buffered_bytes / 2
    }

    /// Returns the number of bytes of text that are kept: for the reader, to resume, and until
    /// the chunks before them arrive.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        let resume = self.resume_text.as_ref().map_or(0, String::len);
        let out_of_order: usize = self.out_of_order.values().map(ChunkBody::text_len).sum();
        self.ready_bytes + resume + out_of_order
    }

    /// Processes one chunk; an invalid chunk ends the stream with an error.
    pub fn accept(&mut self, chunk: StreamChunk) -> ChunkOutcome {
        let mismatched = chunk.request != self.request || chunk.attempt != self.attempt;
        if self.ended || mismatched || chunk.sequence < self.next_sequence {
            return ChunkOutcome::Dropped;
        }
        if chunk.sequence > self.next_sequence {
            return self.buffer(chunk.sequence, chunk.body);
        }
        self.append(chunk.body);
        while let Some(body) = self.out_of_order.remove(&self.next_sequence) {
            self.append(body);
        }
        ChunkOutcome::Appended
    }

    /// Returns the next delivery for the caller, if one is ready.
    pub fn take(&mut self) -> Option<Delivery> {
        let delivery = self.ready.pop_front()?;
        if let Delivery::Tokens { text, .. } = &delivery {
            self.ready_bytes -= text.len();
        }
        Some(delivery)
    }

    /// Starts a new attempt that continues after the assembled tokens.
    ///
    /// Tokens that wait for the reader are kept. Chunks that were received out of
    /// order are dropped, because the new replica produces their tokens again.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream has ended or its text exceeds
    /// `max_resume_bytes`.
    pub fn resume(&mut self) -> Result<ResumePoint, StreamError> {
        if self.ended {
            return Err(StreamError::AlreadyEnded(self.request.clone()));
        }
        let Some(text) = self.resume_text.clone() else {
            let bytes = self.text_bytes;
            return Err(StreamError::TooLongToResume(self.request.clone(), bytes));
        };
        self.attempt += 1;
        self.next_sequence = 0;
        self.out_of_order.clear();
        Ok(ResumePoint {
            attempt: self.attempt,
            resume_from: self.tokens,
            text,
        })
    }

    /// Ends the stream because its replica failed and no other one resumes it.
    pub fn interrupt(&mut self) {
        let error = StreamError::Interrupted(self.request.clone(), self.tokens);
        self.fail(error);
    }

    /// Ends the stream with an error, unless it has ended already.
    pub fn fail(&mut self, error: StreamError) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.out_of_order.clear();
        self.ready.push_back(Delivery::Error(error));
    }

    fn buffer(&mut self, sequence: u64, body: ChunkBody) -> ChunkOutcome {
        if self.out_of_order.contains_key(&sequence) {
            return ChunkOutcome::Dropped;
        }
        if self.out_of_order.len() >= self.limits.max_reordered_chunks {
            let missing = self.next_sequence;
            self.fail(StreamError::ReorderOverflow(self.request.clone(), missing));
            return ChunkOutcome::Dropped;
        }
        self.out_of_order.insert(sequence, body);
        ChunkOutcome::Buffered
    }

    fn append(&mut self, body: ChunkBody) {
        self.next_sequence += 1;
        match body {
            ChunkBody::Tokens { first, count, text } => {
                self.append_tokens(first, u64::from(count), text);
            }
            ChunkBody::End { tokens, reason } => self.append_end(tokens, reason),
            ChunkBody::Whole {
                tokens,
                text,
                reason,
            } => self.append_whole(tokens, text, reason),
            ChunkBody::Failure { detail } => {
                self.fail(StreamError::Replica(self.request.clone(), detail));
            }
        }
    }

    fn append_tokens(&mut self, first: u64, count: u64, text: String) {
        if self.ended {
            return;
        }
        let repeated = count > 0 && first.saturating_add(count) <= self.tokens;
        if repeated {
            return;
        }
        if first != self.tokens {
            let request = self.request.clone();
            self.fail(StreamError::TokenGap(request, self.tokens, first));
            return;
        }
        let full = self.ready_bytes + text.len() > self.limits.max_buffered_bytes;
        if self.ready_bytes > 0 && full {
            let request = self.request.clone();
            self.fail(StreamError::ReaderTooSlow(request, self.ready_bytes));
            return;
        }
        self.tokens += count;
        self.store_resume_text(&text);
        self.ready_bytes += text.len();
        self.ready
            .push_back(Delivery::Tokens { first, count, text });
    }

    fn append_end(&mut self, tokens: u64, reason: FinishReason) {
        if self.ended {
            return;
        }
        if tokens != self.tokens {
            let request = self.request.clone();
            self.fail(StreamError::Incomplete(request, tokens, self.tokens));
            return;
        }
        self.ended = true;
        self.out_of_order.clear();
        self.ready
            .push_back(Delivery::End(StreamEnd { tokens, reason }));
    }

    fn append_whole(&mut self, tokens: u64, text: String, reason: FinishReason) {
        if self.tokens > 0 {
            let request = self.request.clone();
            self.fail(StreamError::UnexpectedWhole(request, self.tokens));
            return;
        }
        self.append_tokens(0, tokens, text);
        self.append_end(tokens, reason);
    }

    fn store_resume_text(&mut self, text: &str) {
        self.text_bytes += text.len();
        if self.text_bytes > self.limits.max_resume_bytes {
            self.resume_text = None;
        } else if let Some(resume_text) = &mut self.resume_text {
            resume_text.push_str(text);
        }
    }
}
