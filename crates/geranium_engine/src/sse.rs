//! Incremental decoder of server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use geranium_net::{LineError, LineSplitter};
use quick_error::quick_error;

/// Upper bound on the length of a field name with its colon and space.
const FIELD_OVERHEAD: usize = 16;
/// Byte order mark that may precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

quick_error! {
    /// Error while decoding server-sent events.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SseError {
        /// An event exceeds the size limit.
        TooLarge(limit: usize) {
            display("event has more than {} bytes", limit)
        }
        /// The id of an event is not a piece index.
        InvalidId(id: String) {
            display("event id {:?} is not a piece index", id)
        }
        /// An event that carries a piece has no id.
        MissingId {
            display("event has no id")
        }
    }
}

/// Kind of an event, by its `event` field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SseEventKind {
    /// An ordinary event.
    #[default]
    Message,
    /// The sender reports an error and aborts the stream.
    Error,
    /// Any other kind; events of it are ignored by [`CompletionStream`].
    ///
    /// [`CompletionStream`]: crate::CompletionStream
    Other,
}

/// A decoded event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Kind of the event.
    pub kind: SseEventKind,
    /// Id of the event, if it has one.
    pub id: Option<u64>,
    /// Data of the event; multiple lines are joined with LF.
    pub data: Bytes,
}

/// Decodes server-sent events from chunks that may split the stream at any byte.
///
/// The data of an event shares the memory of its chunk where possible.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use geranium_engine::SseDecoder;
///
/// let mut decoder = SseDecoder::new(1024);
/// decoder.push(Bytes::from_static(b"id: 7\ndata: hel"));
/// assert_eq!(decoder.next_event(), Ok(None));
/// decoder.push(Bytes::from_static(b"lo\n\n"));
/// let event = decoder.next_event().unwrap().unwrap();
/// assert_eq!((event.id, &event.data[..]), (Some(7), &b"hello"[..]));
/// ```
#[derive(Debug)]
pub struct SseDecoder {
    lines: LineSplitter,
    max_event_bytes: usize,
    at_start: bool,
    kind: SseEventKind,
    id: Option<u64>,
    data: EventData,
}

#[derive(Debug, Default)]
enum EventData {
    #[default]
    None,
    SingleLine(Bytes),
    MultiLine(BytesMut),
}

impl EventData {
    fn len(&self) -> usize {
        match self {
            Self::None => 0,
            Self::SingleLine(line) => line.len(),
            Self::MultiLine(buf) => buf.len(),
        }
    }
}

impl SseDecoder {
    /// Creates a decoder that rejects events with more than `max_event_bytes` of data.
    #[must_use]
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            lines: LineSplitter::new(max_event_bytes + FIELD_OVERHEAD),
            max_event_bytes,
            at_start: true,
            kind: SseEventKind::default(),
            id: None,
            data: EventData::default(),
        }
    }

    /// Adds the next chunk of the stream.
    pub fn push(&mut self, chunk: Bytes) {
        self.lines.push(chunk);
    }

    /// Returns the number of bytes that have not been returned as an event yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.lines.buffered_bytes() + self.data.len()
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too large or its id is not a piece index.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        loop {
            let line = self.lines.next_line();
            let line =
                line.map_err(|LineError::TooLong(_)| SseError::TooLarge(self.max_event_bytes))?;
            let Some(mut line) = line else {
                return Ok(None);
            };
            if std::mem::take(&mut self.at_start) && line.starts_with(BYTE_ORDER_MARK) {
                line.advance(BYTE_ORDER_MARK.len());
            }
            if !line.is_empty() {
                self.parse_field(&line)?;
            } else if let Some(event) = self.finish_event() {
                return Ok(Some(event));
            }
        }
    }

    fn parse_field(&mut self, line: &Bytes) -> Result<(), SseError> {
        let colon = line.iter().position(|&b| b == b':');
        let name_len = colon.unwrap_or(line.len());
        let mut value = line.slice(colon.map_or(line.len(), |i| i + 1)..);
        if value.first() == Some(&b' ') {
            value.advance(1);
        }
        match &line[..name_len] {
            b"data" => self.append_data(value),
            b"id" => self.set_id(&value),
            b"event" => {
                self.kind = event_kind(&value);
                Ok(())
            }
            // Comments, `retry` and unknown fields are ignored.
            _ => Ok(()),
        }
    }

    fn set_id(&mut self, value: &[u8]) -> Result<(), SseError> {
        let text = String::from_utf8_lossy(value);
        let id = text.parse();
        self.id = Some(id.map_err(|_| SseError::InvalidId(text.into_owned()))?);
        Ok(())
    }

    fn append_data(&mut self, value: Bytes) -> Result<(), SseError> {
        let separator_len = usize::from(!matches!(self.data, EventData::None));
        if self.data.len() + separator_len + value.len() > self.max_event_bytes {
            return Err(SseError::TooLarge(self.max_event_bytes));
        }
        self.data = match std::mem::take(&mut self.data) {
            EventData::None => EventData::SingleLine(value),
            EventData::SingleLine(first) => {
                EventData::MultiLine(append_line(BytesMut::from(&first[..]), &value))
            }
            EventData::MultiLine(buf) => EventData::MultiLine(append_line(buf, &value)),
        };
        Ok(())
    }

    /// Finishes the current event. An event without data is discarded, as the
    /// standard requires.
    fn finish_event(&mut self) -> Option<SseEvent> {
        let kind = std::mem::take(&mut self.kind);
        let id = self.id.take();
        let data = match std::mem::take(&mut self.data) {
            EventData::None => return None,
            EventData::SingleLine(data) => data,
            EventData::MultiLine(buf) => buf.freeze(),
        };
        Some(SseEvent { kind, id, data })
    }
}

fn event_kind(value: &[u8]) -> SseEventKind {
    match value {
        b"" | b"message" => SseEventKind::Message,
        b"error" => SseEventKind::Error,
        _ => SseEventKind::Other,
    }
}

fn append_line(mut buf: BytesMut, value: &[u8]) -> BytesMut {
    buf.extend_from_slice(b"\n");
    buf.extend_from_slice(value);
    buf
}
