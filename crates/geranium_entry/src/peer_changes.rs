//! Client that fetches store changes from other entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_net::{ClientError, HttpClient, HttpRequest, ResponseTimeout};
use geranium_platform::{StoreEra, StoredValue, WatchBatch, WatchChange};
use hyper::StatusCode;

use crate::change_history::Change;
use crate::recent_changes::ChangesResponse;

/// Timeouts of a request to another entry host, which may wait for a change before it responds.
const REQUEST_TIMEOUT: ResponseTimeout = ResponseTimeout {
    head: Duration::from_millis(700),
    pause: Duration::from_millis(500),
    total: Duration::from_secs(3),
};

/// Changes received from another entry host.
#[derive(Debug)]
pub(crate) struct PeerChanges {
    pub(crate) batch: WatchBatch,
    /// Era of the store that they are from, if it states eras.
    pub(crate) era: Option<StoreEra>,
    /// Time since the last contact with the store of the entry host that watches it.
    pub(crate) age: Duration,
    /// Whether the other entry host has no further changes.
    pub(crate) is_complete: bool,
    /// Size of the response, in bytes.
    pub(crate) received_bytes: usize,
}

/// Fetches the changes after a revision from another entry host; `None` if it cannot
/// provide all of them.
///
/// # Errors
///
/// Returns an error if the request fails or times out, or if the response is malformed.
pub(crate) async fn fetch(
    client: &HttpClient,
    peer: SocketAddr,
    after: StoreRevision,
) -> Result<Option<PeerChanges>, ClientError> {
    let req = HttpRequest::get(peer, format!("/changes/{}", after.0));
    let (status, body) = client.send_buffered(req, REQUEST_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Ok(None);
    }
    let changes: ChangesResponse =
        serde_json::from_slice(&body).map_err(|e| ClientError::Malformed(peer, e.to_string()))?;
    let is_complete = changes.newest.is_none_or(|n| n <= changes.revision);
    let batch = WatchBatch {
        revision: StoreRevision(changes.revision),
        changes: changes.changes.into_iter().filter_map(decode).collect(),
    };
    let age = Duration::from_millis(changes.age_ms);
    let era = changes.era.map(StoreEra);
    Ok(Some(PeerChanges {
        batch,
        era,
        age,
        is_complete,
        received_bytes: body.len(),
    }))
}

fn decode(change: Change) -> Option<WatchChange> {
    let revision = StoreRevision(change.revision);
    let Some(text) = change.value else {
        return Some(WatchChange::Deleted {
            key: change.key.to_string(),
            revision,
        });
    };
    match STANDARD.decode(&*text) {
        Ok(bytes) => Some(WatchChange::Put(StoredValue {
            key: change.key.to_string(),
            value: Bytes::from(bytes),
            revision,
        })),
        Err(e) => {
            log::warn!("ignoring a malformed change from another entry host: {e}");
            None
        }
    }
}
