//! Deletes claims whose retention has expired.

use std::sync::Arc;
use std::time::Duration;

use geranium_core::id::AccountId;
use geranium_core::once::{ClaimDeletion, claim_sweep_prefix, expired_claims};
use geranium_platform::{KvStore, StoreError, Swap};

use super::driver::parse_stored_claim;
use crate::node::Node;

/// Interval between sweeps, each of one partition of an account's claims.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Number of partitions of an account's claims.
const PARTITIONS_PER_ACCOUNT: u64 = 256;

/// Maximum number of deletions in one transaction.
const MAX_DELETIONS_PER_TRANSACTION: usize = 64;

/// Deletes expired claims while this process leads its failure domain.
pub async fn sweep_claims(node: Arc<Node>) {
    for round in 0_u64.. {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let view = node.published.view();
        let accounts: Vec<AccountId> = view
            .records
            .accounts()
            .map(|spec| spec.account.clone())
            .collect();
        if !view.is_leader || accounts.is_empty() {
            continue;
        }
        let account = &accounts[(round / PARTITIONS_PER_ACCOUNT) as usize % accounts.len()];
        let prefix = claim_sweep_prefix(account, (round % PARTITIONS_PER_ACCOUNT) as u8);
        if let Err(e) = sweep_partition(&node, &prefix).await {
            log::debug!("cannot sweep claims below {prefix:?}: {e}");
        }
    }
}

async fn sweep_partition(node: &Node, prefix: &str) -> Result<(), StoreError> {
    let read = node.store.range(prefix).await?;
    let claims: Vec<_> = read
        .values
        .iter()
        .map(|v| (v.key.as_str(), parse_stored_claim(v)))
        .collect();
    let now = node.clock.now();
    let expired = expired_claims(now, claims.iter().map(|(key, claim)| (*key, claim)));
    for chunk in expired.chunks(MAX_DELETIONS_PER_TRANSACTION) {
        let swaps = chunk.iter().map(|ClaimDeletion { key, expected }| Swap {
            key: key.clone(),
            expected: *expected,
            value: None,
            lease: None,
        });
        node.store.transact(swaps.collect()).await?;
    }
    Ok(())
}
