//! Publishes requests that crash backend servers to the other entry hosts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_platform::{KvStore, StoreError, Swap};
use tokio::sync::mpsc;

use crate::dialect::Dialect;
use crate::state::SharedState;
use crate::store_watcher::CRASH_PREFIX;

/// Time for which a crash record is kept in the store.
const CRASH_TTL: Duration = Duration::from_secs(300);

/// Writes the fingerprint of each request that crashed a backend server to the store.
pub(crate) async fn run<D: Dialect, S: KvStore>(
    shared: Rc<SharedState<D>>,
    store: S,
    mut rx: mpsc::UnboundedReceiver<u64>,
) {
    while let Some(fingerprint) = rx.recv().await {
        if let Err(e) = write_crash(&shared, &store, fingerprint).await {
            log::warn!("failed to publish the crash record of a request: {e}");
        }
    }
}

async fn write_crash<D: Dialect, S: KvStore>(
    shared: &SharedState<D>,
    store: &S,
    fingerprint: u64,
) -> Result<(), StoreError> {
    let lease = store.grant_lease(CRASH_TTL).await?;
    let at = shared.now().as_millis();
    let name = format!("{CRASH_PREFIX}{fingerprint:x}/{}-{at}", shared.cfg.name);
    let swap = Swap {
        key: shared.dialect.internal_key(&name),
        expected: StoreRevision(0),
        value: Some(Bytes::copy_from_slice(shared.cfg.name.as_bytes())),
        lease: Some(lease),
    };
    store.transact(vec![swap]).await?;
    Ok(())
}
