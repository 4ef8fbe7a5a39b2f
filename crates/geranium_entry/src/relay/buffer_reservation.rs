//! Memory accounting for one response of a backend server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Bytes, BytesMut};
use geranium_net::{BodyFraming, ResponseMemory};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;

use super::attempt::AttemptError;

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE: usize = 16 << 20;
/// Bytes of a stream that wait for its caller before no more is read from the backend server.
const MAX_QUEUED: usize = 64 << 10;

/// Memory that one response uses of the process-wide budget: bytes that are still being read,
/// until this is dropped, and bytes on their way to the caller, until its connection has taken
/// them.
pub(super) struct BufferReservation {
    held: Arc<HeldBytes>,
}

/// Bytes of one response that are counted in the process-wide budget.
struct HeldBytes {
    memory: ResponseMemory,
    counts: Mutex<HeldCounts>,
    /// Notifies the reader that the caller has taken bytes.
    taken: Notify,
}

#[derive(Clone, Copy, Default)]
struct HeldCounts {
    reading: usize,
    queued: usize,
}

impl HeldBytes {
    fn counts(&self) -> MutexGuard<'_, HeldCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BufferReservation {
    /// Creates an empty reservation.
    pub(super) fn new(memory: &ResponseMemory) -> Self {
        let held = HeldBytes {
            memory: memory.clone(),
            counts: Mutex::default(),
            taken: Notify::new(),
        };
        Self {
            held: Arc::new(held),
        }
    }

    /// Sets the number of bytes that are being read. Returns whether the limits allow it; if
    /// not, the reservation stays as it was.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let mut counts = self.held.counts();
        let memory = &self.held.memory;
        let allowed = match bytes.checked_sub(counts.reading) {
            Some(more) => {
                let own = counts.reading + counts.queued;
                bytes <= MAX_BUFFERED_RESPONSE && memory.try_reserve(own, more)
            }
            None => {
                memory.release(counts.reading - bytes);
                true
            }
        };
        if allowed {
            counts.reading = bytes;
        }
        allowed
    }

    /// Counts bytes that were read as on their way to the caller until the returned ones are
    /// dropped.
    pub(super) fn queue(&mut self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        {
            let mut counts = self.held.counts();
            counts.reading = counts.reading.saturating_sub(bytes.len());
            counts.queued += bytes.len();
        }
        Bytes::from_owner(QueuedBytes {
            held: self.held.clone(),
            bytes,
        })
    }

    /// Waits until the caller has taken so much that more may be read for it.
    pub(super) async fn room_for_more(&self) {
        while self.held.counts().queued > MAX_QUEUED {
            self.held.taken.notified().await;
        }
    }

    /// Reads a body completely, reserving memory as data arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, broke off, or may have broken off before its
    /// first byte.
    pub(super) async fn read_to_end(
        &mut self,
        mut body: Incoming,
        framing: BodyFraming,
    ) -> Result<Bytes, AttemptError> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        let mut len = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| AttemptError::MayHaveRun("cut"))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            len += data.len();
            if !self.resize(len) {
                return Err(AttemptError::MayHaveRun("too_long"));
            }
            if first.is_empty() && rest.is_empty() {
                first = data;
                continue;
            }
            if rest.is_empty() {
                rest.extend_from_slice(&std::mem::take(&mut first));
            }
            rest.extend_from_slice(&data);
        }
        let whole = if rest.is_empty() {
            first
        } else {
            rest.freeze()
        };
        // A server that ended right after the head looks the same.
        if framing == BodyFraming::Connection && whole.is_empty() {
            return Err(AttemptError::MayHaveRun("cut"));
        }
        Ok(self.queue(whole))
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes on their way to a caller.
struct QueuedBytes {
    held: Arc<HeldBytes>,
    bytes: Bytes,
}

impl AsRef<[u8]> for QueuedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.held.counts().queued -= self.bytes.len();
        self.held.memory.release(self.bytes.len());
        self.held.taken.notify_one();
    }
}
