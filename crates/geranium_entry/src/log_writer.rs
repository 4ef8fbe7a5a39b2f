//! Log output that never blocks a request.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bytes of log lines that may wait for the output.
const MAX_WAITING: usize = 512 << 10;
/// Pause between two writes to the output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Most bytes in one write, so that a reader with a small buffer gets whole lines.
const MAX_WRITE: usize = 4 << 10;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
    dropped: u64,
    /// Lines dropped since the start.
    dropped_in_all: u64,
}

/// Collects log lines for a thread that writes them out; drops and counts lines
/// that do not fit.
#[derive(Clone, Debug, Default)]
pub struct LogWriter {
    waiting: Arc<Mutex<Waiting>>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(mut out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let writer = Self::default();
        let waiting = writer.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || {
                loop {
                    std::thread::sleep(FLUSH_INTERVAL);
                    let bytes = waiting.take();
                    for piece in pieces(&bytes) {
                        // Nobody is left to tell of a failure of the log's own output.
                        let _ = out.write_all(piece).and_then(|()| out.flush());
                    }
                }
            })?;
        Ok(writer)
    }

    /// Returns the lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.dropped_in_all
    }

    /// Returns the lines that wait and forgets them.
    #[must_use]
    pub fn take(&self) -> Vec<u8> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = std::mem::take(&mut waiting.dropped);
        let mut bytes = std::mem::take(&mut waiting.bytes);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"fields\":{{\"count\":\"{dropped}\"}}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }
}

/// Splits bytes into pieces of whole lines; a line that is longer than a piece
/// stands alone.
pub fn pieces(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(MAX_WRITE)];
        let within = window.iter().rposition(|b| *b == b'\n');
        let end = within.or_else(|| rest.iter().position(|b| *b == b'\n'));
        let (piece, left) = rest.split_at(end.map_or(rest.len(), |i| i + 1));
        rest = left;
        Some(piece)
    })
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + buf.len() > MAX_WAITING {
            waiting.dropped += 1;
            waiting.dropped_in_all += 1;
        } else {
            waiting.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
