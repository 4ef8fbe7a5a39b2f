//! The messages of one watch.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use geranium_platform::etcd::wire::{
    Base64, EventType, Int64, KeyValue, RangeRequest, ResponseHeader, StreamMessage,
    WatchCreateRequest, WatchEvent, WatchResponse,
};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::watch;

use super::{Change, PlatformState};

/// What a watch still has to send.
enum Step {
    Create,
    Follow,
    End,
}

/// Follows the history of the store for one call.
pub(super) struct Watcher {
    state: Arc<Mutex<PlatformState>>,
    changed: watch::Receiver<u64>,
    range: RangeRequest,
    next: u64,
    progress_interval: Duration,
    step: Step,
    _open: OpenWatch,
}

/// Counts an open watch while it lives.
pub(super) struct OpenWatch(Arc<Mutex<u64>>);

impl OpenWatch {
    pub fn new(count: Arc<Mutex<u64>>) -> Self {
        *count.lock() += 1;
        Self(count)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
    }
}

impl Watcher {
    pub fn new(
        state: Arc<Mutex<PlatformState>>,
        changed: watch::Receiver<u64>,
        create: WatchCreateRequest,
        progress_interval: Duration,
        open: OpenWatch,
    ) -> Self {
        let next = match create.start_revision.0 {
            0 => state.lock().revision() + 1,
            start => start,
        };
        Self {
            state,
            changed,
            range: RangeRequest {
                key: create.key,
                range_end: create.range_end,
            },
            next,
            progress_interval,
            step: Step::Create,
            _open: open,
        }
    }

    /// Returns the messages as lines of JSON.
    pub fn into_stream(self) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        stream::unfold(self, |mut watcher| async move {
            let response = watcher.next_response().await?;
            Some((Ok(line(response)), watcher))
        })
    }

    async fn next_response(&mut self) -> Option<WatchResponse> {
        match self.step {
            Step::Create => {
                self.step = Step::Follow;
                Some(WatchResponse {
                    created: true,
                    ..self.response(Vec::new())
                })
            }
            Step::Follow => Some(self.follow().await),
            Step::End => None,
        }
    }

    async fn follow(&mut self) -> WatchResponse {
        loop {
            self.changed.mark_unchanged();
            if let Some(response) = self.pending() {
                return response;
            }
            let changed = tokio::time::timeout(self.progress_interval, self.changed.changed());
            if changed.await.is_err() && self.has_caught_up() {
                return self.response(Vec::new());
            }
        }
    }

    /// Returns whether a progress notice would not pass over a change.
    fn has_caught_up(&self) -> bool {
        self.next > self.state.lock().revision()
    }

    /// Returns the changes not yet sent, or the end of a watch that came too late.
    fn pending(&mut self) -> Option<WatchResponse> {
        let state = self.state.lock();
        if let Some(compacted) = state.compacted_before(self.next) {
            let header = state.header();
            drop(state);
            self.step = Step::End;
            return Some(WatchResponse {
                header,
                canceled: true,
                compact_revision: Int64(compacted),
                cancel_reason: "etcdserver: mvcc: required revision has been compacted".to_owned(),
                ..WatchResponse::default()
            });
        }
        let changes = state.changes(self.next, &self.range);
        // Changes of other keys are passed too, so that a compaction does not end the watch.
        let reached = state.revision() + 1;
        drop(state);
        self.next = self.next.max(reached);
        if changes.is_empty() {
            return None;
        }
        Some(self.response(changes))
    }

    fn response(&self, changes: Vec<Change>) -> WatchResponse {
        let reached = self.next - 1;
        WatchResponse {
            header: ResponseHeader {
                revision: Int64(reached),
            },
            events: changes.into_iter().map(event).collect(),
            ..WatchResponse::default()
        }
    }
}

fn event(change: Change) -> WatchEvent {
    let kind = match change.value {
        Some(_) => EventType::Put,
        None => EventType::Delete,
    };
    WatchEvent {
        kind,
        kv: KeyValue {
            key: Base64(change.key),
            mod_revision: Int64(change.revision),
            value: Base64(change.value.unwrap_or_default()),
            lease: Int64(change.lease),
        },
    }
}

/// Renders a message of a streaming call as a line.
pub(super) fn line(message: impl Serialize) -> Bytes {
    let message = StreamMessage {
        result: Some(message),
        error: None,
    };
    // Structs of numbers and strings always serialise.
    let mut line = serde_json::to_vec(&message).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
