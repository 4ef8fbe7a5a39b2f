//! Shows operators what this entry host believes.

use std::rc::Rc;

use geranium_fleet::entry_host_view::{EntryHostView, GroupRow, RouteView, ServiceRow};
use tokio::sync::{mpsc, oneshot};

use crate::dialect::Dialect;
use crate::state::Shared;

/// Questions that wait for an answer.
const MOST_WAITING: usize = 4;

/// Asks for the beliefs from a task that may run anywhere.
#[derive(Clone, Debug)]
pub(crate) struct BeliefsAsker {
    questions: mpsc::Sender<oneshot::Sender<EntryHostView>>,
}

impl BeliefsAsker {
    /// Returns the beliefs, or `None` if too many ask at once.
    pub(crate) fn ask(&self) -> impl Future<Output = Option<EntryHostView>> + Send + use<> {
        let (tx, rx) = oneshot::channel();
        let asked = self.questions.try_send(tx);
        async move {
            asked.ok()?;
            rx.await.ok()
        }
    }
}

/// Makes the way for questions to the thread that holds the beliefs.
pub(crate) fn channel() -> (BeliefsAsker, mpsc::Receiver<oneshot::Sender<EntryHostView>>) {
    let (questions, asked) = mpsc::channel(MOST_WAITING);
    (BeliefsAsker { questions }, asked)
}

/// Answers questions until the process ends.
pub(crate) async fn answer<D: Dialect>(
    shared: Rc<Shared<D>>,
    mut questions: mpsc::Receiver<oneshot::Sender<EntryHostView>>,
) {
    while let Some(question) = questions.recv().await {
        // Who asked may have left.
        let _ = question.send(view(&shared));
    }
}

fn view<D: Dialect>(shared: &Shared<D>) -> EntryHostView {
    let now = shared.now();
    let core = shared.core.borrow();
    let deployment = core.table.as_ref().map(|t| t.deployment());
    let age = now.since(shared.heard_at.get());
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
