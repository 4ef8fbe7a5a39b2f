//! Limit on interim responses of a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use hyper::Request;
use tokio::sync::Notify;

/// Interim responses after which an attempt fails. Each may be as large as the buffer of a
/// connection.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Counts the interim responses (status 1xx) to one request. They are not passed on, and
/// without a limit a faulty server could send them until the deadline.
#[derive(Default)]
pub(super) struct InterimLimit {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimLimit {
    /// Counts the interim responses to a request.
    pub(super) fn watch<B>(&self, req: &mut Request<B>) {
        let state = self.state.clone();
        hyper::ext::on_informational(req, move |_| {
            if state.count.fetch_add(1, Ordering::Relaxed) == MAX_INTERIM_RESPONSES {
                state.exceeded.notify_one();
            }
        });
    }

    /// Waits until there are too many.
    pub(super) async fn exceeded(&self) {
        self.state.exceeded.notified().await;
    }
}
