//! Feeds the router with cache events of the groups of this failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::group::ServingGroup;
use geranium_core::id::GroupId;
use geranium_core::route::{BlockHash, CacheChange, CacheEvent};
use geranium_engine::{CacheEventKind, EngineApi};
use tokio::time::MissedTickBehavior;

use crate::node::Node;

/// Time between two questions to a group.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Where the events of a group go on.
struct Position {
    generation: u64,
    next: u64,
}

/// Asks the head of each group for its cache events until the process ends.
pub async fn poll_cache_events(node: Arc<Node>) {
    let mut positions: BTreeMap<GroupId, Position> = BTreeMap::new();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let serving = node.published.view().serving.clone();
        positions.retain(|id, _| serving.iter().any(|group| group.group == *id));
        for group in serving.iter() {
            let position = positions.entry(group.group.clone()).or_insert(Position {
                generation: group.generation,
                next: 0,
            });
            if position.generation != group.generation {
                *position = Position {
                    generation: group.generation,
                    next: 0,
                };
            }
            take_in(&node, group, position).await;
        }
    }
}

async fn take_in(node: &Node, group: &ServingGroup, position: &mut Position) {
    let Ok(page) = node
        .engines
        .cache_events(group.address, position.next)
        .await
    else {
        return;
    };
    position.next = page.next;
    for event in page.events {
        let block = vec![BlockHash(event.block_hash)];
        let change = match event.kind {
            CacheEventKind::Stored => CacheChange::Stored(block),
            CacheEventKind::Evicted => CacheChange::Evicted(block),
        };
        node.traffic.cache_event(&CacheEvent {
            group: group.group.clone(),
            generation: group.generation,
            sequence: event.sequence,
            change,
        });
    }
}
