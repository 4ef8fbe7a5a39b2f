//! Recent store changes, served to entry hosts that do not watch the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_core::time::Timestamp;
use geranium_net::{HttpServer, ServerConfig, ServerError};
use geranium_platform::{StoreEra, StoredValue, WatchBatch, WatchChange};
use geranium_telemetry::ProcessClock;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, RequestExt, Router, get};

use crate::change::Change;
use crate::change_form::ChangeForm;
use crate::change_history::{ChangeHistory, ReceivedPatches};
use crate::peer_changes::PeerChanges;
use crate::value_patch::PatchError;

/// Fraction of the process memory that recent changes may hold.
const MEMORY_FRACTION: f64 = 0.05;
/// Size from which a response is cut short, in bytes: many entry hosts may ask at once, each
/// response is built for one of them, and those that are left ask again.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Time for which a request waits for a change (long polling).
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time since the last contact with the store after which changes are no longer passed
/// on, so that entry hosts that only reach each other notice the outage.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(2);
/// Path that returns the changes after a revision.
const CHANGES_PATH: &str = "/changes/:after";
/// Query of a reader that takes patches. Earlier builds ignore it.
const PATCHED_QUERY: &str = "patched";
/// Query of a reader that takes whole values compressed. Earlier builds ignore it.
const COMPRESSED_QUERY: &str = "compressed";

/// Returns the path of a request for the changes after a revision.
pub(crate) fn changes_path(after: StoreRevision, form: ChangeForm) -> String {
    match form {
        ChangeForm::Whole => format!("/changes/{}", after.0),
        ChangeForm::Patched => format!("/changes/{}?{PATCHED_QUERY}", after.0),
        ChangeForm::Compressed => format!("/changes/{}?{COMPRESSED_QUERY}", after.0),
    }
}

/// Returns the form that a request asks for.
fn requested_form(req: &viz::Request) -> ChangeForm {
    match req.uri().query() {
        Some(PATCHED_QUERY) => ChangeForm::Patched,
        Some(COMPRESSED_QUERY) => ChangeForm::Compressed,
        _ => ChangeForm::Whole,
    }
}

/// The changes up to a revision, as sent in a response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangesResponse {
    /// The changes in ascending order of their revisions.
    pub(crate) changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub(crate) revision: u64,
    /// Revision of the newest change that the sender has; earlier builds do not state it.
    #[serde(default)]
    pub(crate) newest: Option<u64>,
    /// Milliseconds since the last contact with the store of the entry host that watches it.
    pub(crate) age_ms: u64,
    /// Era of the store that they are from, if it states eras.
    #[serde(default)]
    pub(crate) era: Option<u64>,
}

/// Changes of one era of the store.
#[derive(Debug)]
struct EraHistory {
    history: ChangeHistory,
    /// Era of the store that the changes are from, if it states eras.
    era: Option<StoreEra>,
}

/// The store changes that this entry host applied recently.
#[derive(Debug)]
pub(crate) struct RecentChanges {
    current: Mutex<EraHistory>,
    appended: Notify,
    /// Time in milliseconds of the last contact with the store, directly or through the entry
    /// hosts that this one gets its changes from; 0 while the store cannot be reached.
    last_store_contact_ms: AtomicU64,
}

impl RecentChanges {
    /// Creates an empty buffer for a process that may use `memory_bytes`.
    pub(crate) fn new(memory_bytes: u64) -> Self {
        let max_bytes = memory_bytes as f64 * MEMORY_FRACTION;
        Self {
            current: Mutex::new(EraHistory {
                history: ChangeHistory::new(max_bytes as usize),
                era: None,
            }),
            appended: Notify::new(),
            last_store_contact_ms: AtomicU64::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, EraHistory> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the estimated memory of the changes, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.lock().history.held_bytes()
    }

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

    /// Discards all changes; until the next start none are taken or passed on.
    pub(crate) fn clear(&self) {
        let mut current = self.lock();
        current.history.stop();
        current.era = None;
    }

    /// Discards all changes and starts anew from a revision of an era, with the contents of the
    /// store.
    pub(crate) fn start(
        &self,
        revision: StoreRevision,
        era: Option<StoreEra>,
        values: &[StoredValue],
    ) {
        let mut current = self.lock();
        current.history.start(revision);
        values.iter().for_each(|value| current.history.hold(value));
        current.era = era;
    }

    /// Appends the changes of a batch that are newer than those in the buffer. `received` are the
    /// patches by which large values came.
    pub(crate) fn append(&self, batch: &WatchBatch, received: &ReceivedPatches) {
        self.lock().history.append_received(batch, received);
        self.appended.notify_waiters();
    }

    /// Returns the changes that another entry host sent with their values, and the patches by
    /// which they came.
    ///
    /// # Errors
    ///
    /// Returns an error if a patch applies to another value than the one that is held.
    pub(crate) fn resolve(
        &self,
        sent: &PeerChanges,
    ) -> Result<(WatchBatch, ReceivedPatches), PatchError> {
        let current = self.lock();
        let mut batch = WatchBatch {
            changes: Vec::with_capacity(sent.changes.len()),
            revision: sent.revision,
        };
        let mut received = ReceivedPatches::default();
        for change in &sent.changes {
            let value = current.history.resolve(change)?;
            batch.changes.push(watch_change(change, value));
            if !change.patches.is_empty() {
                received.insert(change.key.clone(), change.patches.clone());
            }
        }
        Ok((batch, received))
    }

    /// Returns the next changes after a revision, or `None` if some of them were already
    /// dropped or the last contact with the store is too long ago.
    fn changes_after(
        &self,
        revision: u64,
        form: ChangeForm,
        now: Timestamp,
    ) -> Option<ChangesResponse> {
        let age = self.contact_age(now)?;
        let mut current = self.lock();
        let page = current
            .history
            .page_after(StoreRevision(revision), MAX_RESPONSE_BYTES, form)?;
        Some(ChangesResponse {
            changes: page.changes,
            revision: page.revision,
            newest: Some(current.history.last_revision()),
            age_ms: age.as_millis() as u64,
            era: current.era.map(|e| e.0),
        })
    }

    /// Returns the changes after a revision; waits a limited time if there are none yet.
    async fn wait_for_changes(
        &self,
        revision: u64,
        form: ChangeForm,
        clock: ProcessClock,
    ) -> Option<ChangesResponse> {
        let appended = self.appended.notified();
        let changes = self.changes_after(revision, form, clock.now())?;
        if changes.changes.is_empty() {
            // On a timeout the empty response still tells that the store is reachable.
            let _ = tokio::time::timeout(LONG_POLL_TIMEOUT, appended).await;
            return self.changes_after(revision, form, clock.now());
        }
        Some(changes)
    }
}

/// Returns a change with its value.
fn watch_change(change: &Change, value: Option<Bytes>) -> WatchChange {
    let revision = StoreRevision(change.revision);
    let key = change.key.to_string();
    match value {
        Some(value) => WatchChange::Put(StoredValue {
            key,
            value,
            revision,
        }),
        None => WatchChange::Deleted { key, revision },
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
            let form = requested_form(&req);
            let res = match recent.wait_for_changes(after, form, clock).await {
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
