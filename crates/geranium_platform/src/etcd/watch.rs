//! The stream of a watch.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use geranium_core::id::StoreRevision;
use geranium_net::LineSplitter;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::client::stored_value;
use super::transport::{Call, Transport};
use super::wire::{
    Base64, CODE_OUT_OF_RANGE, EventType, Int64, StreamMessage, WatchCreateRequest, WatchEvent,
    WatchRequest, WatchResponse, prefix_end,
};
use crate::{StoreCallKind, StoreCallResult, StoreError, WatchBatch, WatchChange};

/// Opens a watch and waits until the service has confirmed it.
pub(super) async fn open(
    transport: Arc<Transport>,
    prefix: &str,
    after: StoreRevision,
) -> Result<impl Stream<Item = Result<WatchBatch, StoreError>> + Send + Unpin + 'static, StoreError>
{
    let call = Call {
        kind: StoreCallKind::Watch,
        path: "/v3/watch",
        key: prefix,
    };
    let (address, res) = transport.open(call, &create_request(prefix, after)).await?;
    let status = res.status();
    let mut reader = WatchReader {
        address,
        prefix: prefix.to_owned(),
        after,
        body: res.into_body(),
        lines: LineSplitter::new(transport.cfg().max_watch_message),
        idle_timeout: transport.cfg().call_timeout,
        ended: false,
    };
    let confirmed = if status.is_success() {
        reader.confirm().await
    } else {
        let detail = "the watch was not opened".to_owned();
        Err(StoreError::Refused(
            prefix.to_owned(),
            status.as_u16(),
            detail,
        ))
    };
    transport.count(call.kind, StoreCallResult::of(&confirmed));
    let early = confirmed?;
    reader.idle_timeout = transport.cfg().watch_idle_timeout;
    Ok(Box::pin(stream::unfold((early, reader), next_batch)))
}

fn create_request(prefix: &str, after: StoreRevision) -> WatchRequest {
    WatchRequest {
        create_request: WatchCreateRequest {
            key: Base64::from_text(prefix),
            range_end: Base64(prefix_end(prefix.as_bytes())),
            start_revision: Int64(after.next().0),
            progress_notify: true,
        },
    }
}

type ReaderState = (VecDeque<WatchBatch>, WatchReader);

async fn next_batch(
    (mut early, mut reader): ReaderState,
) -> Option<(Result<WatchBatch, StoreError>, ReaderState)> {
    if let Some(batch) = early.pop_front() {
        return Some((Ok(batch), (early, reader)));
    }
    if reader.ended {
        return None;
    }
    let outcome = reader.read_batch().await;
    reader.ended = outcome.is_err();
    Some((outcome, (early, reader)))
}

/// Reads the messages of one watch.
struct WatchReader {
    address: SocketAddr,
    prefix: String,
    after: StoreRevision,
    body: Incoming,
    lines: LineSplitter,
    idle_timeout: Duration,
    ended: bool,
}

impl WatchReader {
    /// Waits for the confirmation; changes in the same message come first.
    async fn confirm(&mut self) -> Result<VecDeque<WatchBatch>, StoreError> {
        let message = self.read_message().await?;
        let mut early = VecDeque::new();
        if !message.events.is_empty() {
            early.push_back(batch(message));
        }
        Ok(early)
    }

    async fn read_batch(&mut self) -> Result<WatchBatch, StoreError> {
        loop {
            let message = self.read_message().await?;
            // The revision of a confirmation may be ahead of changes still to come.
            if !message.created || !message.events.is_empty() {
                return Ok(batch(message));
            }
        }
    }

    async fn read_message(&mut self) -> Result<WatchResponse, StoreError> {
        loop {
            let line = self.lines.next_line().map_err(|e| self.malformed(&e))?;
            match line {
                Some(line) if line.is_empty() => {}
                Some(line) => return self.parse(&line),
                None => {
                    let chunk = self.read_chunk().await?;
                    self.lines.push(chunk);
                }
            }
        }
    }

    async fn read_chunk(&mut self) -> Result<Bytes, StoreError> {
        let frame = match tokio::time::timeout(self.idle_timeout, self.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return Err(self.lost(e.to_string())),
            Ok(None) => return Err(self.lost("the service ended the watch".to_owned())),
            Err(_) => {
                let millis = self.idle_timeout.as_millis();
                return Err(self.lost(format!("the watch was silent for {millis} ms")));
            }
        };
        Ok(frame.into_data().unwrap_or_default())
    }

    fn parse(&self, line: &[u8]) -> Result<WatchResponse, StoreError> {
        let message: StreamMessage<WatchResponse> =
            serde_json::from_slice(line).map_err(|e| self.malformed(&e))?;
        if let Some(status) = message.error {
            if status.code == CODE_OUT_OF_RANGE {
                return Err(StoreError::Compacted(self.after.0));
            }
            return Err(self.lost(status.message));
        }
        let response = message.result.unwrap_or_default();
        if !response.compact_revision.is_zero() {
            return Err(StoreError::Compacted(self.after.0));
        }
        if response.canceled {
            return Err(self.lost(response.cancel_reason));
        }
        Ok(response)
    }

    fn lost(&self, detail: String) -> StoreError {
        StoreError::Unreachable(self.address.to_string(), detail)
    }

    fn malformed(&self, e: &impl std::fmt::Display) -> StoreError {
        StoreError::Malformed(self.prefix.clone(), e.to_string())
    }
}

/// Converts a message. The head's revision may be ahead of the changes that a
/// watch has caught up with, so the last change counts where there is one.
fn batch(message: WatchResponse) -> WatchBatch {
    let reached = message
        .events
        .last()
        .map_or(message.header.revision, |event| event.kv.mod_revision);
    WatchBatch {
        changes: message.events.into_iter().map(change).collect(),
        revision: StoreRevision(reached.0),
    }
}

fn change(event: WatchEvent) -> WatchChange {
    match event.kind {
        EventType::Put => WatchChange::Put(stored_value(event.kv)),
        EventType::Delete => WatchChange::Deleted {
            key: event.kv.key.to_text(),
            revision: StoreRevision(event.kv.mod_revision.0),
        },
    }
}
