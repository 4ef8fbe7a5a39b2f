//! Log output that never blocks a request.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Bytes of log lines that may wait for the output.
const MAX_BUFFERED: usize = 512 << 10;
/// Pause between two writes to the output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Most bytes in one write, so that a reader with a small buffer gets whole lines.
const MAX_WRITE: usize = 4 << 10;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last write.
    dropped: u64,
    /// Lines dropped since the start.
    dropped_total: u64,
}

/// Collects log lines for a thread that writes them out; drops and counts lines
/// that do not fit.
#[derive(Clone, Debug, Default)]
pub struct LogWriter {
    buffer: Arc<Mutex<Buffer>>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(mut out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let writer = Self::default();
        let buffer = writer.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || {
                loop {
                    std::thread::sleep(FLUSH_INTERVAL);
                    let bytes = buffer.take();
                    for chunk in line_chunks(&bytes) {
                        // Nobody is left to tell of a failure of the log's own output.
                        let _ = out.write_all(chunk).and_then(|()| out.flush());
                    }
                }
            })?;
        Ok(writer)
    }

    /// Returns the lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.dropped_total
    }

    /// Returns the lines that wait and forgets them.
    #[must_use]
    pub fn take(&self) -> Vec<u8> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = std::mem::take(&mut buffer.dropped);
        let mut bytes = std::mem::take(&mut buffer.bytes);
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
pub fn line_chunks(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(MAX_WRITE)];
        let within = window.iter().rposition(|b| *b == b'\n');
        let end = within.or_else(|| rest.iter().position(|b| *b == b'\n'));
        let (chunk, left) = rest.split_at(end.map_or(rest.len(), |i| i + 1));
        rest = left;
        Some(chunk)
    })
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + buf.len() > MAX_BUFFERED {
            buffer.dropped += 1;
            buffer.dropped_total += 1;
        } else {
            buffer.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
