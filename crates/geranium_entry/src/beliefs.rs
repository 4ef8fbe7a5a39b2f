//! Shows operators what this entry host believes.

use std::rc::Rc;

use geranium_fleet::entry_host_view::{EntryHostView, GroupRow, RouteView, ServiceRow};
use tokio::sync::{mpsc, oneshot};

use crate::dialect::Dialect;
use crate::state::SharedState;

/// Questions that wait for an answer.
const MAX_PENDING: usize = 4;

/// Asks for the beliefs from a task that may run anywhere.
#[derive(Clone, Debug)]
pub(crate) struct BeliefsClient {
    requests: mpsc::Sender<oneshot::Sender<EntryHostView>>,
}

impl BeliefsClient {
    /// Returns the beliefs, or `None` if too many ask at once.
    pub(crate) fn request(&self) -> impl Future<Output = Option<EntryHostView>> + Send + use<> {
        let (tx, rx) = oneshot::channel();
        let sent = self.requests.try_send(tx);
        async move {
            sent.ok()?;
            rx.await.ok()
        }
    }
}

/// Makes the way for requests to the thread that holds the beliefs.
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
        // Who asked may have left.
        let _ = request.send(view(&shared));
    }
}

fn view<D: Dialect>(shared: &SharedState<D>) -> EntryHostView {
    let now = shared.now();
    let core = shared.core.borrow();
    let deployment = core.route_table.as_ref().map(|t| t.deployment());
    let age = now.since(shared.last_store_contact.get());
    EntryHostView {
        entry_host: shared.cfg.name.to_string(),
        manager: core.manager.as_ref().map(|(name, _)| name.clone()),
        directory_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        version: deployment.map(|d| d.version),
        routes: deployment.map(RouteView::all).unwrap_or_default(),
        groups: GroupRow::all(&core.directory),
        services: ServiceRow::all(&core.directory, now),
    }
}
