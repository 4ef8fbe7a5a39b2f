//! Delivery of a relayed answer to its caller.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::stream::FinishReason;
use geranium_net::{ApiError, MemoryReservation, ResponseMemory};
use tokio::sync::{mpsc, oneshot};

use super::complete_answer::CompleteAnswer;
use super::output_error::OutputError;

/// Maximum time that one frame may wait for a slow reader.
const READER_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that a frame adds to its data.
const FRAME_OVERHEAD: usize = 40;

/// Destination of a relayed answer.
pub enum RelayOutput {
    /// A caller that reads a stream.
    Stream {
        /// Receives once whether the stream starts; `None` after that.
        started: Option<oneshot::Sender<Result<(), ApiError>>>,
        /// Server-sent event frames for the caller.
        frames: mpsc::Sender<Bytes>,
        /// Memory for the frames that the caller has not taken.
        memory: ResponseMemory,
    },
    /// A caller that waits for the complete answer.
    Complete {
        /// Receives the answer or the failure; `None` after that.
        done: Option<oneshot::Sender<Result<CompleteAnswer, ApiError>>>,
        /// Text received so far.
        text: String,
        /// Memory of the text; `None` after the answer was sent.
        memory: Option<MemoryReservation>,
    },
}

impl RelayOutput {
    /// Sends a chunk of the answer to the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected or reads too slowly, or if there is no memory
    /// for the chunk.
    pub async fn write_chunk(
        &mut self,
        index: u64,
        data: &[u8],
        text: &str,
    ) -> Result<(), OutputError> {
        match self {
            Self::Stream {
                started,
                frames,
                memory,
            } => {
                notify_started(started);
                send_counted_frame(frames, event_frame(index, data), memory).await
            }
            Self::Complete {
                text: answer_text,
                done,
                memory,
            } => {
                if done.as_ref().is_none_or(oneshot::Sender::is_closed) {
                    return Err(OutputError::CallerGone);
                }
                let bytes = answer_text.len() + text.len();
                if !memory.as_mut().is_some_and(|m| m.resize(bytes)) {
                    return Err(OutputError::NoMemory);
                }
                answer_text.push_str(text);
                Ok(())
            }
        }
    }

    /// Completes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected or reads too slowly, or if there is no memory
    /// for the last event.
    pub async fn finish(
        &mut self,
        last: Option<(u64, Bytes)>,
        tokens: u64,
        reason: FinishReason,
    ) -> Result<(), OutputError> {
        match self {
            Self::Stream {
                started,
                frames,
                memory,
            } => {
                notify_started(started);
                if let Some((index, data)) = last {
                    send_counted_frame(frames, event_frame(index, &data), memory).await?;
                }
                send_frame(frames, Bytes::from_static(b"data: [DONE]\n\n")).await
            }
            Self::Complete { done, text, memory } => {
                let answer = CompleteAnswer {
                    text: std::mem::take(text),
                    tokens,
                    reason,
                    memory: memory.take().ok_or(OutputError::CallerGone)?,
                };
                let done = done.take().ok_or(OutputError::CallerGone)?;
                done.send(Ok(answer)).map_err(|_| OutputError::CallerGone)
            }
        }
    }

    /// Ends the answer with a failure. A stream that has started gets an error event
    /// and no end marker, so that it never appears complete.
    pub async fn fail(&mut self, e: ApiError) {
        match self {
            Self::Stream {
                started, frames, ..
            } => match started.take() {
                Some(started) => {
                    let _ = started.send(Err(e));
                }
                None => {
                    let _ = send_frame(frames, error_frame(&e)).await;
                }
            },
            Self::Complete { done, .. } => {
                if let Some(done) = done.take() {
                    let _ = done.send(Err(e));
                }
            }
        }
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match self {
            Self::Stream { frames, .. } => frames.closed().await,
            Self::Complete {
                done: Some(done), ..
            } => done.closed().await,
            Self::Complete { done: None, .. } => {}
        }
    }
}

fn notify_started(started: &mut Option<oneshot::Sender<Result<(), ApiError>>>) {
    if let Some(started) = started.take() {
        // A disconnected caller is detected when the next frame is sent.
        let _ = started.send(Ok(()));
    }
}

/// Sends a frame that counts as memory until the caller's connection has taken it.
async fn send_counted_frame(
    frames: &mpsc::Sender<Bytes>,
    frame: Bytes,
    memory: &ResponseMemory,
) -> Result<(), OutputError> {
    let mut reservation = memory.reservation();
    if !reservation.resize(frame.len()) {
        return Err(OutputError::NoMemory);
    }
    send_frame(frames, reservation.attach(frame)).await
}

async fn send_frame(frames: &mpsc::Sender<Bytes>, frame: Bytes) -> Result<(), OutputError> {
    if let Err(full) = frames.try_send(frame) {
        let frame = full.into_inner();
        return frames
            .send_timeout(frame, READER_TIMEOUT)
            .await
            .map_err(|_| OutputError::CallerGone);
    }
    Ok(())
}

fn event_frame(index: u64, data: &[u8]) -> Bytes {
    let mut head = String::with_capacity(FRAME_OVERHEAD);
    // Writing to a string cannot fail.
    let _ = write!(head, "id: {index}\ndata: ");
    let mut buf = Vec::with_capacity(head.len() + data.len() + 2);
    buf.extend_from_slice(head.as_bytes());
    buf.extend_from_slice(data);
    buf.extend_from_slice(b"\n\n");
    Bytes::from(buf)
}

fn error_frame(e: &ApiError) -> Bytes {
    let mut buf = b"event: error\ndata: ".to_vec();
    buf.extend_from_slice(&e.to_json());
    buf.extend_from_slice(b"\n\n");
    Bytes::from(buf)
}
