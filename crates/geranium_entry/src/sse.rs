//! Incremental splitting of server-sent event streams.

use bytes::{Bytes, BytesMut};

/// Splits an event stream into complete events without modifying any byte.
///
/// # Examples
///
/// ```
/// use geranium_entry::sse::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: x\n\nid: 8\nda");
/// let event = splitter.next_event().expect("one event is complete");
/// assert_eq!(event.id, Some(7));
/// assert_eq!(&event.bytes[..], b"id: 7\ndata: x\n\n");
/// assert!(splitter.next_event().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBytes {
    /// Id of the event, if it is a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the terminating empty line.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<EventBytes> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(EventBytes {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether the buffer contains an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        self.buf.iter().any(|b| !matches!(b, b'\n' | b'\r'))
    }

    /// Returns the number of buffered bytes that were not returned yet.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    fn find_end(&mut self) -> Option<usize> {
        let mut i = self.scanned;
        while i < self.buf.len() {
            if self.buf[i] == b'\n' {
                let rest = &self.buf[i + 1..];
                if rest.first() == Some(&b'\n') {
                    return Some(i + 2);
                }
                if rest.starts_with(b"\r\n") {
                    return Some(i + 3);
                }
            }
            i += 1;
        }
        // The last two bytes may be the beginning of a terminating empty line.
        self.scanned = self.buf.len().saturating_sub(2);
        None
    }
}

/// Parses the last `id:` line of an event as a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n').rev();
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(values.next()?).ok()?;
    text.trim().parse().ok()
}
