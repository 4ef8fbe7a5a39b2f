//! Snapshot of the local state of this entry host, for operators.

use std::rc::Rc;

use geranium_fleet::entry_host_view::{EntryHostView, GroupRow, RouteView, ServiceRow};
use geranium_fleet::room::RoomRow;
use tokio::sync::{mpsc, oneshot};

use crate::dialect::Dialect;
use crate::state::SharedState;

/// Maximum number of pending requests.
const MAX_PENDING: usize = 4;

/// Requests a snapshot from any thread.
#[derive(Clone, Debug)]
pub(crate) struct BeliefsClient {
    requests: mpsc::Sender<oneshot::Sender<EntryHostView>>,
}

impl BeliefsClient {
    /// Returns a snapshot, or `None` if too many requests are pending.
    pub(crate) fn request(&self) -> impl Future<Output = Option<EntryHostView>> + Send + use<> {
        let (tx, rx) = oneshot::channel();
        let sent = self.requests.try_send(tx);
        async move {
            sent.ok()?;
            rx.await.ok()
        }
    }
}

/// Creates a channel for requests to the thread that owns the state.
pub(crate) fn channel() -> (
    BeliefsClient,
    mpsc::Receiver<oneshot::Sender<EntryHostView>>,
) {
    let (requests, receiver) = mpsc::channel(MAX_PENDING);
    (BeliefsClient { requests }, receiver)
}

/// Answers requests until the process ends.
pub(crate) async fn serve<D: Dialect>(
    shared: Rc<SharedState<D>>,
    mut requests: mpsc::Receiver<oneshot::Sender<EntryHostView>>,
) {
    while let Some(request) = requests.recv().await {
        // Fails if the requester has gone, which is fine.
        let _ = request.send(view(&shared));
    }
}

fn view<D: Dialect>(shared: &SharedState<D>) -> EntryHostView {
    let now = shared.now();
    let core = shared.core.borrow();
    let cut_off_for = core.reach.cut_off_for(now);
    let deployment = core.route_table.as_ref().map(|t| t.deployment());
    let age = now.since(shared.last_store_contact.get());
    EntryHostView {
        entry_host: shared.cfg.name.to_string(),
        manager: core.manager.as_ref().map(|(name, _)| name.clone()),
        directory_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        cut_off_ms: cut_off_for.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        limited_servers: core.dispatcher.limits().count(now),
        version: deployment.map(|d| d.version),
        routes: deployment.map(RouteView::all).unwrap_or_default(),
        groups: GroupRow::all(&core.directory),
        services: ServiceRow::all(&core.directory, now),
        room: Some(RoomRow::all(&core.directory, |id| {
            core.dispatcher.total_running(id)
        })),
    }
}
