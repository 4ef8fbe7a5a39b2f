//! Splitting of a byte stream into lines.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

quick_error! {
    /// Error while splitting a stream into lines.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum LineError {
        /// A line exceeds the length limit.
        TooLong(limit: usize) {
            display("line exceeds {} bytes", limit)
        }
    }
}

/// Splits a byte stream into lines that end with LF, CR or CRLF.
///
/// A line within one chunk shares the chunk's storage; only a line that crosses a chunk
/// boundary is copied.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use geranium_net::LineSplitter;
///
/// let mut lines = LineSplitter::new(16);
/// lines.push(Bytes::from_static(b"one\r\ntw"));
/// assert_eq!(lines.next_line(), Ok(Some(Bytes::from_static(b"one"))));
/// assert_eq!(lines.next_line(), Ok(None));
/// lines.push(Bytes::from_static(b"o\n"));
/// assert_eq!(lines.next_line(), Ok(Some(Bytes::from_static(b"two"))));
/// ```
#[derive(Debug)]
pub struct LineSplitter {
    chunk: Bytes,
    partial: BytesMut,
    skip_line_feed: bool,
    max_line: usize,
}

impl LineSplitter {
    /// Creates a splitter that accepts lines of at most `max_line` bytes.
    #[must_use]
    pub fn new(max_line: usize) -> Self {
        Self {
            chunk: Bytes::new(),
            partial: BytesMut::new(),
            skip_line_feed: false,
            max_line,
        }
    }

    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: Bytes) {
        if self.chunk.is_empty() {
            self.chunk = chunk;
            return;
        }
        let mut joined = BytesMut::with_capacity(self.chunk.len() + chunk.len());
        joined.extend_from_slice(&self.chunk);
        joined.extend_from_slice(&chunk);
        self.chunk = joined.freeze();
    }

    /// Returns the next complete line without its terminator, or `None` if more bytes are
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns an error if a line exceeds the length limit.
    pub fn next_line(&mut self) -> Result<Option<Bytes>, LineError> {
        self.skip_line_feed_of_crlf();
        let end = self.chunk.iter().position(|&b| b == b'\n' || b == b'\r');
        let piece_len = end.unwrap_or(self.chunk.len());
        if self.partial.len() + piece_len > self.max_line {
            return Err(LineError::TooLong(self.max_line));
        }
        let piece = self.chunk.split_to(piece_len);
        if end.is_none() {
            self.partial.extend_from_slice(&piece);
            return Ok(None);
        }
        self.skip_line_feed = self.chunk.get_u8() == b'\r';
        if self.partial.is_empty() {
            return Ok(Some(piece));
        }
        self.partial.extend_from_slice(&piece);
        Ok(Some(self.partial.split().freeze()))
    }

    /// Returns whether any pushed bytes have not been returned as a line yet.
    #[must_use]
    pub fn has_partial_line(&self) -> bool {
        self.buffered_bytes() > 0
    }

    /// Returns the number of bytes that have not been returned as a line yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len() + self.chunk.len()
    }

    fn skip_line_feed_of_crlf(&mut self) {
        let Some(&first) = self.chunk.first() else {
            return;
        };
        if self.skip_line_feed && first == b'\n' {
            self.chunk.advance(1);
        }
        self.skip_line_feed = false;
    }
}
