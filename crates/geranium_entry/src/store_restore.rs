//! Notices that the store has returned from an older copy of its data.

use std::rc::Rc;
use std::time::Duration;

use geranium_platform::{KvStore, StoreEra};

use crate::dialect::Dialect;
use crate::state::SharedState;

/// Time for which what the older copy lacks is kept: the operator and the backend servers
/// write it again soon.
pub(crate) const RESTORE_GRACE: Duration = Duration::from_secs(3);

/// Tells the process of each return of the store from an older copy, until it ends.
pub(crate) async fn run<D: Dialect, S: KvStore>(shared: Rc<SharedState<D>>, store: S) {
    let mut eras = store.era();
    let mut known: Option<StoreEra> = *eras.borrow_and_update();
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        if let (Some(before), Some(now)) = (known, era) {
            shared.record_store_restored(before, now);
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(RESTORE_GRACE).await;
                // What was not written again by now is gone.
                shared.snapshot_due.set(true);
            });
        }
        known = era;
    }
}
