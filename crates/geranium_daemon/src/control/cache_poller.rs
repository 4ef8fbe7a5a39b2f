//! Polls cache events of the groups of this failure domain for the router.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geranium_core::group::ServingGroup;
use geranium_core::id::GroupId;
use geranium_core::route::{BlockHash, CacheChange, CacheEvent};
use geranium_engine::{CacheEventKind, EngineApi};
use tokio::time::MissedTickBehavior;

use crate::node::Node;

/// Interval between polls of a group.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Position in the event sequence of a group.
struct EventCursor {
    generation: u64,
    next_sequence: u64,
}

/// Polls the head of each group for its cache events until the process ends.
pub async fn poll_cache_events(node: Arc<Node>) {
    let mut cursors: BTreeMap<GroupId, EventCursor> = BTreeMap::new();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let serving = node.published.view().serving.clone();
        cursors.retain(|id, _| serving.iter().any(|group| group.group == *id));
        for group in serving.iter() {
            let cursor = cursors.entry(group.group.clone()).or_insert(EventCursor {
                generation: group.generation,
                next_sequence: 0,
            });
            if cursor.generation != group.generation {
                *cursor = EventCursor {
                    generation: group.generation,
                    next_sequence: 0,
                };
            }
            poll_group(&node, group, cursor).await;
        }
    }
}

async fn poll_group(node: &Node, group: &ServingGroup, cursor: &mut EventCursor) {
    let Ok(page) = node
        .engines
        .cache_events(group.address, cursor.next_sequence)
        .await
    else {
        return;
    };
    cursor.next_sequence = page.next;
    for event in page.events {
        let block = vec![BlockHash(event.block_hash)];
        let change = match event.kind {
            CacheEventKind::Stored => CacheChange::Stored(block),
            CacheEventKind::Evicted => CacheChange::Evicted(block),
        };
        node.traffic.apply_cache_event(&CacheEvent {
            group: group.group.clone(),
            generation: group.generation,
            sequence: event.sequence,
            change,
        });
    }
}
