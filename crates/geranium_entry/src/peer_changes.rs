//! Asks other entry hosts for changes of the store.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_net::{ClientError, HttpClient, HttpRequest};
use geranium_platform::{StoredValue, WatchBatch, WatchChange};
use hyper::StatusCode;

use crate::recent_changes::{Change, ChangesResponse};

/// Longest time for the answer of another entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Changes that another entry host passed on.
#[derive(Debug)]
pub(crate) struct PeerChanges {
    /// The changes.
    pub(crate) batch: WatchBatch,
    /// Time since the store was heard, on the whole way.
    pub(crate) age: Duration,
}

/// Asks another entry host for the changes after a revision; `None` if it does not
/// have them all.
///
/// # Errors
///
/// Returns an error if it did not answer in time.
pub(crate) async fn fetch(
    client: &HttpClient,
    peer: SocketAddr,
    after: StoreRevision,
) -> Result<Option<PeerChanges>, ClientError> {
    let req = HttpRequest::get(peer, format!("/changes/{}", after.0));
    let (status, body) = client.send_whole(req, REQUEST_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Ok(None);
    }
    let changes: ChangesResponse =
        serde_json::from_slice(&body).map_err(|e| ClientError::Malformed(peer, e.to_string()))?;
    let batch = WatchBatch {
        revision: StoreRevision(changes.revision),
        changes: changes.changes.into_iter().filter_map(decode).collect(),
    };
    let age = Duration::from_millis(changes.age_ms);
    Ok(Some(PeerChanges { batch, age }))
}

fn decode(change: Change) -> Option<WatchChange> {
    let revision = StoreRevision(change.revision);
    let Some(text) = change.value else {
        return Some(WatchChange::Deleted {
            key: change.key,
            revision,
        });
    };
    match STANDARD.decode(text) {
        Ok(bytes) => Some(WatchChange::Put(StoredValue {
            key: change.key,
            value: Bytes::from(bytes),
            revision,
        })),
        Err(e) => {
            log::warn!("change of another entry host is malformed: {e}");
            None
        }
    }
}
