//! The answer of a completion, streamed or whole.

use bytes::Bytes;
use futures::{Stream, stream};

use super::condition::Condition;
use super::render::{ChunkFrame, END_EVENT, error_event};
use super::session::{EarlyEnd, Session};
use super::text::TokenSeed;

/// Returns a completion as server-sent events.
pub(super) fn into_events(
    session: Session,
) -> impl Stream<Item = Result<Bytes, EarlyEnd>> + Send + 'static {
    let writer = EventWriter::new(&session);
    stream::unfold((session, writer), |(mut session, mut writer)| async move {
        if session.has_ended() {
            return None;
        }
        let events = next_events(&mut session, &mut writer).await;
        Some((events, (session, writer)))
    })
}

/// Runs a completion and returns its whole text.
pub(super) async fn into_text(mut session: Session) -> Result<String, EarlyEnd> {
    let mut text = String::new();
    while let Some(burst) = session.next_burst().await? {
        for index in burst.first..burst.after_last {
            text.push_str(&session.seed().token(index));
        }
    }
    session.finish();
    Ok(text)
}

async fn next_events(session: &mut Session, writer: &mut EventWriter) -> Result<Bytes, EarlyEnd> {
    match session.next_burst().await {
        Ok(Some(burst)) => {
            let condition = *session.core().condition.lock();
            for index in burst.first..burst.after_last {
                writer.push(index, &condition);
            }
        }
        Ok(None) => {
            session.finish();
            writer.push_end(session.facts().completion_tokens);
        }
        Err(e @ EarlyEnd::Expired) => writer.push_error("deadline_exceeded", &e),
        Err(e) => return Err(e),
    }
    Ok(writer.take())
}

/// Renders the events of one completion.
struct EventWriter {
    frame: ChunkFrame,
    seed: TokenSeed,
    held: Option<u64>,
    pad_pieces: usize,
    buf: String,
}

impl EventWriter {
    fn new(session: &Session) -> Self {
        let facts = session.facts();
        Self {
            frame: ChunkFrame::new(&facts.request, &facts.model),
            seed: session.seed(),
            held: None,
            pad_pieces: 0,
            buf: String::new(),
        }
    }

    /// Adds a piece, unless it is lost or to be sent after its successor.
    fn push(&mut self, index: u64, condition: &Condition) {
        self.pad_pieces = condition.pad_pieces;
        let is_due = |every: u64| every > 0 && index.is_multiple_of(every);
        if is_due(condition.lose_every) {
            return;
        }
        if is_due(condition.swap_every) && self.held.is_none() {
            self.held = Some(index);
            return;
        }
        self.push_token(index);
        if is_due(condition.repeat_every) {
            self.push_token(index);
        }
        self.push_held();
    }

    fn push_held(&mut self) {
        if let Some(index) = self.held.take() {
            self.push_token(index);
        }
    }

    fn push_token(&mut self, index: u64) {
        let mut text = self.seed.token(index);
        let padding = self.pad_pieces.saturating_sub(text.len());
        text.extend(std::iter::repeat_n('.', padding));
        self.frame.push_token(&mut self.buf, index, &text);
    }

    fn push_end(&mut self, index: u64) {
        self.push_held();
        self.frame.push_finish(&mut self.buf, index);
        self.buf.push_str(END_EVENT);
    }

    fn push_error(&mut self, kind: &str, e: &EarlyEnd) {
        self.buf.push_str(&error_event(kind, &e.to_string()));
    }

    fn take(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.buf))
    }
}
