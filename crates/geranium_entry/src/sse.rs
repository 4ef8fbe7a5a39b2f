//! Incremental splitting of server-sent event streams.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// Names of the fields that a line of an event may have.
const FIELD_NAMES: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];

quick_error! {
    /// Bytes in a stream that are no event.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum MalformedEvent {
        /// A line is neither a field nor a comment.
        UnknownField {
            display("a line is neither a field nor a comment")
        }
        /// The id of an event is not a number, or the event has more than one.
        InvalidId {
            display("an event has several ids or one that is not a number")
        }
        /// An event has no id.
        MissingId {
            display("an event has no id")
        }
        /// The id of an event is not higher than that of the event before it.
        IdNotIncreasing(id: u64, before: u64) {
            display("event {} follows event {}", id, before)
        }
    }
}

/// Splits a stream into complete events without modifying any byte.
///
/// Every event has an id, higher than the one before it. Blank lines and comments belong to
/// the event that follows them. Anything else is no event, which is noticed as soon as the
/// first bytes of a line show it.
///
/// # Examples
///
/// ```
/// use geranium_entry::sse::{EventSplitter, MalformedEvent};
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 7\ndata: x\n\nid: 8\nda");
/// let event = splitter.next_event()?.expect("one event is complete");
/// assert_eq!(event.id, 7);
/// assert_eq!(&event.bytes[..], b"id: 7\ndata: x\n\n");
/// assert_eq!(splitter.next_event()?, None);
/// assert!(splitter.has_partial_event());
/// splitter.push(b"ta: y\n<html>");
/// assert_eq!(splitter.next_event(), Err(MalformedEvent::UnknownField));
/// # Ok::<(), MalformedEvent>(())
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Start of the line that is not complete yet.
    line_start: usize,
    /// Bytes that were searched for the end of that line.
    scanned: usize,
    /// Id of the event that is not complete yet.
    id: Option<u64>,
    /// Whether that event has a field.
    has_field: bool,
    /// Id of the event before it.
    last_id: Option<u64>,
}

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventBytes {
    /// Id of the event.
    pub id: u64,
    /// Bytes of the event, including blank lines and comments before it and the blank line
    /// that ends it.
    pub bytes: Bytes,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error if the next bytes cannot be an event. Nothing after them can be trusted.
    pub fn next_event(&mut self) -> Result<Option<EventBytes>, MalformedEvent> {
        while let Some(end) = self.find_line_end() {
            let line = &self.buf[self.line_start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let is_blank = line.is_empty();
            if !is_blank {
                let field = Field::parse(line)?;
                self.add(field)?;
            }
            self.line_start = end + 1;
            self.scanned = self.line_start;
            if is_blank && self.has_field {
                return self.complete_event().map(Some);
            }
        }
        check_line_start(&self.buf[self.line_start..])?;
        Ok(None)
    }

    /// Returns the id of the last event that was returned.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the buffer contains an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        let line = &self.buf[self.line_start..];
        self.has_field || line.iter().any(|b| *b != b'\r')
    }

    /// Returns the blank lines and comments after the last event, once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Returns the number of buffered bytes that were not returned yet.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }

    fn find_line_end(&mut self) -> Option<usize> {
        let offset = self.buf[self.scanned..].iter().position(|b| *b == b'\n');
        let end = offset.map(|offset| self.scanned + offset);
        self.scanned = end.unwrap_or(self.buf.len());
        end
    }

    fn add(&mut self, field: Field) -> Result<(), MalformedEvent> {
        match field {
            Field::Comment => return Ok(()),
            Field::Id(_) if self.id.is_some() => return Err(MalformedEvent::InvalidId),
            Field::Id(id) => self.id = Some(id),
            Field::Other => {}
        }
        self.has_field = true;
        Ok(())
    }

    fn complete_event(&mut self) -> Result<EventBytes, MalformedEvent> {
        let id = self.id.take().ok_or(MalformedEvent::MissingId)?;
        if let Some(before) = self.last_id.filter(|before| id <= *before) {
            return Err(MalformedEvent::IdNotIncreasing(id, before));
        }
        self.last_id = Some(id);
        self.has_field = false;
        let bytes = self.buf.split_to(self.line_start).freeze();
        self.line_start = 0;
        self.scanned = 0;
        Ok(EventBytes { id, bytes })
    }
}

/// A line of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Field {
    Comment,
    Id(u64),
    Other,
}

impl Field {
    /// Parses a line that is not blank.
    fn parse(line: &[u8]) -> Result<Self, MalformedEvent> {
        let mut parts = line.splitn(2, |b| *b == b':');
        let name = parts.next().unwrap_or_default();
        let value = parts.next();
        if name.is_empty() {
            return Ok(Self::Comment);
        }
        if !FIELD_NAMES.contains(&name) {
            return Err(MalformedEvent::UnknownField);
        }
        if name != b"id" {
            return Ok(Self::Other);
        }
        let text = std::str::from_utf8(value.unwrap_or_default());
        let id = text.ok().and_then(|t| t.trim().parse().ok());
        id.map(Self::Id).ok_or(MalformedEvent::InvalidId)
    }
}

/// Checks that an incomplete line may become a field or a comment.
fn check_line_start(line: &[u8]) -> Result<(), MalformedEvent> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let may_become = |name: &[u8]| match line.get(name.len()) {
        Some(next) => line.starts_with(name) && *next == b':',
        None => name.starts_with(line),
    };
    if line.starts_with(b":") || FIELD_NAMES.iter().any(|name| may_become(name)) {
        return Ok(());
    }
    Err(MalformedEvent::UnknownField)
}
