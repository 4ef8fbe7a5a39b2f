//! Changes of the store while it is not heard, from whoever hears it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::dialect::Dialect;
use crate::follow::Follower;
use crate::passed_changes::{self, PassedOn};
use crate::state::Shared;

/// Pause between two looks whether the store is heard.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes in changes from other entry hosts while the store is not heard.
pub(crate) async fn run<D: Dialect>(follower: Rc<Follower<D>>) {
    loop {
        tokio::time::sleep(PAUSE).await;
        let shared = follower.shared();
        let revision = shared.revision.get().filter(|_| shared.store_away.get());
        let (Some(revision), Some(peer)) = (revision, other_host(shared, &follower)) else {
            continue;
        };
        match passed_changes::ask(follower.client(), peer, revision).await {
            Ok(Some(PassedOn { batch, .. })) if !batch.changes.is_empty() => {
                log::info!(peer:% = peer, changes = batch.changes.len(), revision = batch.revision.0; "changes come from another entry host");
                follower.take_in(batch);
            }
            Ok(_) => {}
            Err(e) => log::debug!(peer:% = peer; "no changes from another entry host: {e}"),
        }
    }
}

fn other_host<D: Dialect>(shared: &Shared<D>, follower: &Follower<D>) -> Option<SocketAddr> {
    let others = follower.peers().others(&shared.cfg.name);
    others.choose(&mut rand::rng()).copied()
}
