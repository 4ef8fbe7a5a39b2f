//! Recent changes of the store, kept for entry hosts that do not hear it.

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
use geranium_platform::{WatchBatch, WatchChange};
use geranium_telemetry::ProcessClock;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, RequestExt, Router, get};

/// Changes kept.
const MAX_CHANGES: usize = 4_096;
/// Time for which a question waits for a change.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time since the store was heard after which changes are not passed on any more, so that
/// entry hosts that hear only each other notice it.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);
/// Path of the changes after a revision.
const CHANGES_PATH: &str = "/changes/:after";

/// A change as entry hosts pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    /// Key of the value.
    pub(crate) key: String,
    /// Revision of the change.
    pub(crate) revision: u64,
    /// Base64 text, or `None` for a deletion.
    pub(crate) value: Option<String>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangesResponse {
    /// The changes in the order of their revisions.
    pub(crate) changes: Vec<Change>,
    /// Revision up to which they reach.
    pub(crate) revision: u64,
    /// Milliseconds since the store was heard by the entry host that hears it itself.
    pub(crate) age_ms: u64,
}

#[derive(Debug, Default)]
struct ChangeLog {
    /// Revision after which every change is kept.
    base_revision: u64,
    last_revision: u64,
    changes: VecDeque<Change>,
}

/// The changes of the store that this entry host has taken in lately.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    log: Mutex<ChangeLog>,
    appended: Notify,
    /// When the store was last heard, here or by those that this entry host hears, in
    /// milliseconds; 0 while it is not.
    last_store_contact_ms: AtomicU64,
}

impl RecentChanges {
    /// Notes when the store was last heard, or that it is not heard.
    pub(crate) fn set_last_contact(&self, at: Option<Timestamp>) {
        let ms = at.map_or(0, Timestamp::as_millis);
        self.last_store_contact_ms.store(ms, Ordering::Relaxed);
    }

    /// Returns the time since the store was last heard, unless that is too long.
    fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        let last_store_contact =
            Timestamp::from_millis(self.last_store_contact_ms.load(Ordering::Relaxed));
        let age = now.since(last_store_contact);
        (age < MAX_CONTACT_AGE).then_some(age)
    }

    /// Forgets all changes and starts from a revision.
    pub(crate) fn reset(&self, revision: StoreRevision) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        *log = ChangeLog {
            base_revision: revision.0,
            last_revision: revision.0,
            changes: VecDeque::new(),
        };
    }

    /// Adds the changes of a batch.
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

    /// Returns the changes after a revision, or `None` if they are not all kept or the
    /// store has not been heard lately.
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
        })
    }

    /// Waits a moment for changes after a revision.
    async fn wait_for_changes(
        &self,
        revision: u64,
        clock: ProcessClock,
    ) -> Option<ChangesResponse> {
        let appended = self.appended.notified();
        let changes = self.changes_after(revision, clock.now())?;
        if changes.changes.is_empty() {
            // Without a change the answer tells that the store is still heard.
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

/// Answers other entry hosts until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be listened on.
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
