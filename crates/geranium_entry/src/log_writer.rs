//! Buffered log output that never blocks request handling.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of buffered bytes.
const MAX_BUFFERED: usize = 512 << 10;
/// Interval at which the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of bytes in one write, so that a reader with a small buffer gets whole
/// lines.
const MAX_WRITE: usize = 4 << 10;

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
    /// Number of lines dropped since the start.
    dropped_total: u64,
}

/// Buffers log lines for a background thread that writes them out. Lines that do not fit
/// into the buffer are dropped and counted.
#[derive(Clone, Debug, Default)]
pub struct LogWriter {
    buffer: Arc<Mutex<Buffer>>,
}

impl LogWriter {
    /// Starts the background thread that writes to `out`.
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
                        // Ignored, as a failure of the log output itself cannot be logged.
                        let _ = out.write_all(chunk).and_then(|()| out.flush());
                    }
                }
            })?;
        Ok(writer)
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        let buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.dropped_total
    }

    /// Takes the buffered lines, followed by a line that counts dropped ones if there are any.
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

/// Splits bytes into chunks of whole lines; a line that is longer than a chunk becomes a
/// chunk of its own.
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
