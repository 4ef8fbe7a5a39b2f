//! Buffer of recent store changes, served to entry hosts that do not watch the store.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_net::{HttpServer, ServerConfig, ServerError};
use geranium_platform::{StoreEra, WatchBatch, WatchChange};
use geranium_telemetry::ProcessClock;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, RequestExt, Router, get};

/// Maximum number of buffered changes.
const MAX_CHANGES: usize = 4_096;
/// Time for which a request waits for a change (long polling).
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time since the last contact with the store after which changes are no longer passed
/// on, so that entry hosts that only reach each other notice the outage.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);
/// Path that returns the changes after a revision.
const CHANGES_PATH: &str = "/changes/:after";

/// A store change as entry hosts exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Key of the value.
    pub(crate) key: String,
    /// Revision of the change.
    pub(crate) revision: u64,
    /// The new value in Base64, or `None` for a deletion.
    pub(crate) value: Option<String>,
}

/// The changes up to a revision, as sent in a response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangesResponse {
    /// The changes in ascending order of their revisions.
    pub(crate) changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub(crate) revision: u64,
    /// Milliseconds since the last contact with the store of the entry host that watches it.
    pub(crate) age_ms: u64,
    /// Era of the store that they are from, if it states eras.
    #[serde(default)]
    pub(crate) era: Option<u64>,
}

#[derive(Debug, Default)]
struct ChangeLog {
    /// Every change after this revision is in the buffer.
    base_revision: u64,
    last_revision: u64,
    era: Option<StoreEra>,
    changes: VecDeque<Change>,
}

/// The store changes that this entry host applied recently.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    log: Mutex<ChangeLog>,
    appended: Notify,
    /// Time in milliseconds of the last contact with the store, directly or through the entry
    /// hosts that this one gets its changes from; 0 while the store cannot be reached.
    last_store_contact_ms: AtomicU64,
}

impl RecentChanges {
    /// Sets the time of the last contact with the store; `None` if it cannot be reached.
    pub(crate) fn set_last_contact(&self, at: Option<Timestamp>) {
        let ms = at.map_or(0, Timestamp::as_millis);
        self.last_store_contact_ms.store(ms, Ordering::Relaxed);
    }

    /// Returns the time since the last contact with the store, unless that is too long.
    fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        let last_store_contact =
            Timestamp::from_millis(self.last_store_contact_ms.load(Ordering::Relaxed));
        let age = now.since(last_store_contact);
        (age < MAX_CONTACT_AGE).then_some(age)
    }

    /// Discards all changes; until the next start none are passed on.
    pub(crate) fn clear(&self) {
        self.start(StoreRevision(0), None);
    }

    /// Discards all changes and starts anew from a revision of an era.
    pub(crate) fn start(&self, revision: StoreRevision, era: Option<StoreEra>) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        *log = ChangeLog {
            base_revision: revision.0,
            last_revision: revision.0,
            era,
            changes: VecDeque::new(),
        };
    }

    /// Appends the changes of a batch that are newer than those in the buffer.
    pub(crate) fn append(&self, batch: &WatchBatch) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        for change in &batch.changes {
            let change = encode(change);
            if change.revision > log.last_revision {
                log.changes.push_back(change);
            }
        }
        log.last_revision = log.last_revision.max(batch.revision.0);
        while log.changes.len() > MAX_CHANGES {
            if let Some(oldest) = log.changes.pop_front() {
                log.base_revision = oldest.revision;
            }
        }
        drop(log);
        self.appended.notify_waiters();
    }

    /// Returns the changes after a revision, or `None` if some of them were already dropped
    /// or the last contact with the store is too long ago.
    fn changes_after(&self, revision: u64, now: Timestamp) -> Option<ChangesResponse> {
        let age = self.contact_age(now)?;
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if revision < log.base_revision || log.last_revision == 0 {
            return None;
        }
        let newer = log.changes.iter().filter(|c| c.revision > revision);
        Some(ChangesResponse {
            changes: newer.cloned().collect(),
            revision: log.last_revision.max(revision),
            age_ms: age.as_millis() as u64,
            era: log.era.map(|e| e.0),
        })
    }

    /// Returns the changes after a revision; waits a limited time if there are none yet.
    async fn wait_for_changes(
        &self,
        revision: u64,
        clock: ProcessClock,
    ) -> Option<ChangesResponse> {
        let appended = self.appended.notified();
        let changes = self.changes_after(revision, clock.now())?;
        if changes.changes.is_empty() {
            // On a timeout the empty response still tells that the store is reachable.
            let _ = tokio::time::timeout(LONG_POLL_TIMEOUT, appended).await;
            return self.changes_after(revision, clock.now());
        }
        Some(changes)
    }
}

fn encode(change: &WatchChange) -> Change {
    match change {
        WatchChange::Put(v) => Change {
            key: v.key.clone(),
            revision: v.revision.0,
            value: Some(STANDARD.encode(&v.value)),
        },
        WatchChange::Deleted { key, revision } => Change {
            key: key.clone(),
            revision: revision.0,
            value: None,
        },
    }
}

/// Serves changes to other entry hosts until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn serve(
    address: SocketAddr,
    recent: Arc<RecentChanges>,
    clock: ProcessClock,
) -> Result<(), ServerError> {
    let handler = move |req: viz::Request| {
        let recent = recent.clone();
        async move {
            let (after,) = req.params::<(u64,)>()?;
            let res = match recent.wait_for_changes(after, clock).await {
                Some(changes) => viz::types::Json(changes).into_response(),
                None => StatusCode::GONE.into_response(),
            };
            Ok::<_, viz::Error>(res)
        }
    };
    let router = Router::new().route(CHANGES_PATH, get(handler));
    let server = HttpServer::bind(address, ServerConfig::default()).await?;
    server.run(router, CancellationToken::new()).await;
    Ok(())
}
