//! Stream of the pieces of a completion.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::Stream;
use geranium_net::{MemoryReservation, ResponseMemory};
use hyper::body::{Body, Incoming};

use crate::sse::{SseDecoder, SseError, SseEvent, SseEventKind};
use crate::{CompletionPiece, EngineError, RefusalEnvelope};

/// Data of the event that ends a complete stream.
const END_MARKER: &[u8] = b"[DONE]";

/// Item of a [`CompletionStream`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// A piece of the completion.
    Piece(CompletionPiece),
    /// The completion is complete; no further events follow.
    Done,
}

/// The pieces of a completion as an engine sends them.
///
/// A stream that ends without [`CompletionEvent::Done`] ends with an error. There
/// is no timeout between pieces; the caller sets one if it needs it. Dropping the
/// stream closes the connection, which cancels the completion.
#[derive(Debug)]
pub struct CompletionStream {
    address: SocketAddr,
    body: Incoming,
    decoder: SseDecoder,
    reservation: MemoryReservation,
    ended: bool,
}

impl CompletionStream {
    /// Creates a stream that reads from a response body. Events that are not complete yet take
    /// their bytes from `memory`; one for which there is none ends the stream.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        body: Incoming,
        max_event_bytes: usize,
        memory: &ResponseMemory,
    ) -> Self {
        Self {
            address,
            body,
            decoder: SseDecoder::new(max_event_bytes),
            reservation: memory.reservation(),
            ended: false,
        }
    }

    /// Returns the address of the engine.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn next_buffered(&mut self) -> Result<Option<CompletionEvent>, EngineError> {
        loop {
            let event = self.decoder.next_event();
            let event = event.map_err(|e| EngineError::MalformedStream(self.address, e))?;
            let Some(event) = event else {
                return Ok(None);
            };
            match event.kind {
                SseEventKind::Message => return self.parse_event(event).map(Some),
                SseEventKind::Error => return Err(self.stream_failure(&event.data)),
                SseEventKind::Other => {}
            }
        }
    }

    fn parse_event(&self, event: SseEvent) -> Result<CompletionEvent, EngineError> {
        if event.data == END_MARKER {
            return Ok(CompletionEvent::Done);
        }
        let Some(index) = event.id else {
            return Err(EngineError::MalformedStream(
                self.address,
                SseError::MissingId,
            ));
        };
        let data = event.data;
        Ok(CompletionEvent::Piece(CompletionPiece { index, data }))
    }

    fn stream_failure(&self, data: &[u8]) -> EngineError {
        let refusal = serde_json::from_slice::<RefusalEnvelope>(data).unwrap_or_default();
        EngineError::StreamFailed(self.address, refusal.error.kind, refusal.error.message)
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Result<CompletionEvent, EngineError>> {
        loop {
            if let Some(event) = self.next_buffered()? {
                return Poll::Ready(Ok(event));
            }
            let truncated = |detail: String| EngineError::StreamTruncated(self.address, detail);
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        self.decoder.push(chunk);
                        if !self.reservation.resize(self.decoder.buffered_bytes()) {
                            return Poll::Ready(Err(truncated("no memory for it".to_owned())));
                        }
                    }
                }
                Some(Err(e)) => return Poll::Ready(Err(truncated(e.to_string()))),
                None => return Poll::Ready(Err(truncated("no end marker".to_owned()))),
            }
        }
    }
}

impl Stream for CompletionStream {
    type Item = Result<CompletionEvent, EngineError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let outcome = ready!(self.poll_event(cx));
        self.ended = !matches!(outcome, Ok(CompletionEvent::Piece(_)));
        Poll::Ready(Some(outcome))
    }
}
