//! Watches of the etcd client.

use std::time::Duration;

use futures::StreamExt;
use geranium_core::id::StoreRevision;
use geranium_fakes::fixture::{
    connections, expect_soon, next_changes, platform, store_client, wait_until,
};
use geranium_fakes::http::GateState;
use geranium_fakes::platform::PlatformFault;
use geranium_fakes::{FakePlatform, PlatformConfig};
use geranium_platform::StoreCallKind;
use geranium_platform::prelude::*;

fn keys(batch: &WatchBatch) -> Vec<&str> {
    batch
        .changes
        .iter()
        .map(|change| match change {
            WatchChange::Put(value) => value.key.as_str(),
            WatchChange::Deleted { key, .. } => key.as_str(),
        })
        .collect()
}

#[tokio::test]
async fn a_watch_follows_the_changes_below_its_prefix() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");

    platform.put("/b/1", "other");
    platform.put("/a/1", "x");
    let batch = next_changes(&mut watch).await;

    assert_eq!(keys(&batch), ["/a/1"]);
    assert_eq!(batch.revision, StoreRevision(platform.stats().revision));
}

#[tokio::test]
async fn a_watch_goes_on_after_a_gap_without_missing_a_change() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");
    platform.put("/a/1", "x");
    let reached = next_changes(&mut watch).await.revision;

    platform.set_fault(&connections(GateState::Close));
    let broken = expect_soon("an item", watch.next()).await;
    let ended = expect_soon("an item", watch.next()).await;
    platform.put("/a/2", "x");
    platform.put("/a/3", "x");
    platform.set_fault(&connections(GateState::Open));
    let mut watch = store.watch("/a/", reached).await.expect("opened again");
    let mut seen = Vec::new();
    while seen.len() < 2 {
        let batch = next_changes(&mut watch).await;
        seen.extend(keys(&batch).into_iter().map(str::to_owned));
    }

    assert!(matches!(broken, Some(Err(StoreError::Unreachable(..)))));
    assert_eq!(ended, None);
    assert_eq!(seen, ["/a/2", "/a/3"]);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_told_so() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let start = store.range("/").await.expect("readable").revision;
    platform.put("/1", "x");
    platform.put("/2", "x");
    platform.set_fault(&PlatformFault {
        compact: true,
        ..PlatformFault::default()
    });

    let mut watch = store.watch("/", start).await.expect("opened");
    let first = expect_soon("an item", watch.next()).await;
    let present = store.range("/").await.expect("readable");
    let mut watch = store.watch("/", present.revision).await.expect("opened");
    platform.put("/3", "x");
    let batch = next_changes(&mut watch).await;

    assert_eq!(first, Some(Err(StoreError::Compacted(start.0))));
    assert_eq!(present.values.len(), 2);
    assert_eq!(keys(&batch), ["/3"]);
}

#[tokio::test]
async fn a_compaction_does_not_end_a_watch_that_has_caught_up() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");

    platform.put("/b/1", "x");
    platform.put("/a/1", "x");
    let first = next_changes(&mut watch).await;
    platform.set_fault(&PlatformFault {
        compact: true,
        ..PlatformFault::default()
    });
    platform.put("/a/2", "x");
    let second = next_changes(&mut watch).await;

    assert_eq!(keys(&first), ["/a/1"]);
    assert_eq!(keys(&second), ["/a/2"]);
}

#[tokio::test]
async fn an_idle_watch_shows_progress_and_counts_as_one_call() {
    let platform = FakePlatform::start(PlatformConfig {
        progress_interval: Duration::from_millis(1),
        ..PlatformConfig::default()
    })
    .await
    .expect("loopback can be listened on");
    let store = store_client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");
    platform.put("/b/1", "x");
    let revision = StoreRevision(platform.stats().revision);

    let reached = expect_soon("the revision", async {
        let mut reached = start;
        while reached < revision {
            let batch = watch.next().await.expect("open").expect("a batch");
            assert_eq!(batch.changes, []);
            reached = batch.revision;
        }
        reached
    })
    .await;

    assert_eq!(reached, revision);
    assert_eq!(platform.stats().calls["watch"], 1);
    assert_eq!(platform.stats().open_watches, 1);
    assert_eq!(store.counter().sent(StoreCallKind::Watch), 1);
}

#[tokio::test]
async fn a_silent_watch_ends_with_an_error() {
    let platform = platform().await.expect("started");
    let store = EtcdClient::new(EtcdConfig {
        watch_idle_timeout: Duration::from_millis(20),
        ..EtcdConfig::new(vec![platform.address()])
    });

    let mut watch = store.watch("/", StoreRevision(1)).await.expect("opened");
    let silent = expect_soon("an item", watch.next()).await;

    assert!(matches!(silent, Some(Err(StoreError::Unreachable(..)))));
}

#[tokio::test]
async fn a_dropped_watch_ends_at_the_service() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let watch = store.watch("/", StoreRevision(1)).await.expect("opened");
    assert_eq!(platform.stats().open_watches, 1);

    drop(watch);

    wait_until(|| platform.stats().open_watches == 0).await;
}
