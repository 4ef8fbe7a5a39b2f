//! Client that fetches store changes from other entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_core::id::StoreRevision;
use geranium_net::{ClientError, HttpClient, HttpRequest, ResponseTimeout};
use geranium_platform::StoreEra;
use hyper::StatusCode;

use crate::change::Change;
use crate::change_form::ChangeForm;
use crate::recent_changes::{ChangesResponse, changes_path};

/// Timeouts of a request to another entry host, which may wait for a change before it responds.
const REQUEST_TIMEOUT: ResponseTimeout = ResponseTimeout {
    head: Duration::from_millis(700),
    pause: Duration::from_millis(500),
    total: Duration::from_secs(3),
};

/// Changes received from another entry host.
#[derive(Debug)]
pub(crate) struct PeerChanges {
    /// The changes in ascending order of their revisions.
    pub(crate) changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub(crate) revision: StoreRevision,
    /// Era of the store that they are from, if it states eras.
    pub(crate) era: Option<StoreEra>,
    /// Time since the last contact with the store of the entry host that watches it.
    pub(crate) age: Duration,
    /// Whether the other entry host has no further changes.
    pub(crate) is_complete: bool,
    /// Size of the response, in bytes.
    pub(crate) received_bytes: usize,
}

impl PeerChanges {
    /// Returns whether nothing has changed.
    pub(crate) const fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Fetches the changes after a revision from another entry host; `None` if it cannot
/// provide all of them. One of an earlier build returns whole values in either form.
///
/// # Errors
///
/// Returns an error if the request fails or times out, or if the response is malformed.
pub(crate) async fn fetch(
    client: &HttpClient,
    peer: SocketAddr,
    after: StoreRevision,
    form: ChangeForm,
) -> Result<Option<PeerChanges>, ClientError> {
    let req = HttpRequest::get(peer, changes_path(after, form));
    let (status, body) = client.send_buffered(req, REQUEST_TIMEOUT).await?;
    if status != StatusCode::OK {
        return Ok(None);
    }
    let res: ChangesResponse =
        serde_json::from_slice(&body).map_err(|e| ClientError::Malformed(peer, e.to_string()))?;
    Ok(Some(PeerChanges {
        is_complete: res.newest.is_none_or(|n| n <= res.revision),
        changes: res.changes,
        revision: StoreRevision(res.revision),
        era: res.era.map(StoreEra),
        age: Duration::from_millis(res.age_ms),
        received_bytes: body.len(),
    }))
}
