//! Publishes requests that crash backend servers to the other entry hosts.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use geranium_core::id::StoreRevision;
use geranium_fleet::crash::CrashId;
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
    mut rx: mpsc::UnboundedReceiver<(u64, CrashId)>,
) {
    while let Some((fingerprint, crash)) = rx.recv().await {
        if let Err(e) = write_crash(&shared, &store, fingerprint, &crash).await {
            log::warn!("failed to publish the crash record of a request: {e}");
        }
    }
}

async fn write_crash<D: Dialect, S: KvStore>(
    shared: &SharedState<D>,
    store: &S,
    fingerprint: u64,
    crash: &CrashId,
) -> Result<(), StoreError> {
    let Ok(value) = serde_json::to_vec(crash) else {
        log::error!(host:% = crash.host; "failed to serialize a crash record");
        return Ok(());
    };
    let lease = store.grant_lease(CRASH_TTL).await?;
    let at = shared.now().as_millis();
    let name = format!("{CRASH_PREFIX}{fingerprint:x}/{}-{at}", shared.cfg.name);
    let swap = Swap {
        key: shared.dialect.internal_key(&name),
        expected: StoreRevision(0),
        value: Some(Bytes::from(value)),
        lease: Some(lease),
    };
    store.transact(vec![swap]).await?;
    Ok(())
}
