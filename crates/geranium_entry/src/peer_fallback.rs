//! Fetches store changes from other entry hosts while the store is unreachable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::dialect::Dialect;
use crate::peer_changes;
use crate::state::SharedState;
use crate::store_watcher::StoreWatcher;

/// Interval at which to check whether the store is reachable.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies changes fetched from other entry hosts while the store is unreachable.
pub(crate) async fn run<D: Dialect>(watcher: Rc<StoreWatcher<D>>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let shared = watcher.shared();
        let revision = shared
            .revision
            .get()
            .filter(|_| shared.store_unreachable.get());
        let (Some(revision), Some(peer)) = (revision, random_peer(shared, &watcher)) else {
            continue;
        };
        let asked_at = shared.now();
        let form = watcher.next_form();
        match peer_changes::fetch(watcher.client(), peer, revision, form).await {
            Ok(Some(changes)) if !changes.is_empty() => {
                log::info!(peer:% = peer, changes = changes.changes.len(), revision = changes.revision.0; "changes come from another entry host");
                watcher.apply_peer_changes(peer, &changes, asked_at);
            }
            Ok(_) => {}
            Err(e) => log::debug!(peer:% = peer; "failed to fetch changes from a peer: {e}"),
        }
    }
}

fn random_peer<D: Dialect>(
    shared: &SharedState<D>,
    watcher: &StoreWatcher<D>,
) -> Option<SocketAddr> {
    let others = watcher.peers().other_addresses(&shared.cfg.name);
    others.choose(&mut rand::rng()).copied()
}
