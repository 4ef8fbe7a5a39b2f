//! The etcd client against the stand-in of the platform.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use geranium_core::id::StoreRevision;
use geranium_fakes::http::GateState;
use geranium_fakes::platform::PlatformFault;
use geranium_fakes::{FakePlatform, PlatformConfig};
use geranium_platform::prelude::*;
use geranium_platform::{StoreCallKind, StoreCallResult};
use tokio::net::TcpStream;

async fn platform() -> FakePlatform {
    FakePlatform::start(PlatformConfig::default())
        .await
        .expect("loopback can be listened on")
}

fn client(platform: &FakePlatform) -> EtcdClient {
    EtcdClient::new(EtcdConfig::new(vec![platform.address()]))
}

fn put(key: &str, expected: StoreRevision, value: &'static str) -> Swap {
    Swap {
        key: key.to_owned(),
        expected,
        value: Some(Bytes::from_static(value.as_bytes())),
        lease: None,
    }
}

fn connections(state: GateState) -> PlatformFault {
    PlatformFault {
        connections: Some(state),
        ..PlatformFault::default()
    }
}

/// Waits until connections to the platform are accepted, or refused.
async fn wait_for_connect(platform: &FakePlatform, accepted: bool) {
    while TcpStream::connect(platform.address()).await.is_ok() != accepted {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn absent() -> StoreRevision {
    StoreRevision(0)
}

fn applied(outcome: Result<CasOutcome, StoreError>) -> StoreRevision {
    match outcome {
        Ok(CasOutcome::Applied(revision)) => revision,
        other => panic!("not applied: {other:?}"),
    }
}

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
async fn a_written_value_is_read_back_with_its_revision() {
    let platform = platform().await;
    let store = client(&platform);

    let revision = applied(store.transact(vec![put("/a/1", absent(), "x")]).await);
    let value = store.get("/a/1").await.expect("readable");

    let value = value.expect("present");
    assert_eq!(value.revision, revision);
    assert_eq!(value.value, "x");
}

#[tokio::test]
async fn a_range_holds_exactly_the_keys_below_its_prefix() {
    let platform = platform().await;
    let store = client(&platform);
    for key in ["/a", "/a/1", "/a/2", "/b/1"] {
        platform.put(key, "v");
    }

    let read = store.range("/a/").await.expect("readable");

    let keys: Vec<_> = read.values.iter().map(|v| v.key.as_str()).collect();
    assert_eq!(keys, ["/a/1", "/a/2"]);
    assert_eq!(read.revision, StoreRevision(platform.stats().revision));
}

#[tokio::test]
async fn of_racing_writers_exactly_one_wins_and_the_others_see_its_value() {
    let platform = platform().await;
    let store = client(&platform);
    let writers = ["one", "two", "three", "four", "five"];

    let attempts = writers.map(|value| {
        let store = store.clone();
        async move { store.transact(vec![put("/record", absent(), value)]).await }
    });
    let outcomes = futures::future::join_all(attempts).await;

    let winner = store
        .get("/record")
        .await
        .expect("readable")
        .expect("present");
    let conflict = Ok(CasOutcome::Conflict(vec![winner.clone()]));
    let wins: Vec<_> = outcomes.iter().filter(|o| **o != conflict).collect();
    assert_eq!(wins, [&Ok(CasOutcome::Applied(winner.revision))]);
}

#[tokio::test]
async fn a_transaction_writes_all_of_its_values_or_none() {
    let platform = platform().await;
    let store = client(&platform);
    platform.put("/taken", "old");

    let swaps = vec![put("/free", absent(), "x"), put("/taken", absent(), "x")];
    let outcome = store.transact(swaps).await.expect("answered");

    let CasOutcome::Conflict(present) = outcome else {
        panic!("applied");
    };
    assert_eq!(present.len(), 1);
    assert_eq!(present[0].key, "/taken");
    assert_eq!(store.get("/free").await, Ok(None));
}

#[tokio::test]
async fn a_deletion_needs_the_revision_too() {
    let platform = platform().await;
    let store = client(&platform);
    let revision = applied(store.transact(vec![put("/k", absent(), "x")]).await);
    let delete = |expected| Swap {
        key: "/k".to_owned(),
        expected,
        value: None,
        lease: None,
    };

    let stale = store.transact(vec![delete(absent())]).await;
    let right = store.transact(vec![delete(revision)]).await;

    assert!(matches!(stale, Ok(CasOutcome::Conflict(_))));
    applied(right);
    assert_eq!(store.get("/k").await, Ok(None));
}

#[tokio::test]
async fn a_lost_answer_is_ambiguous_and_reading_back_settles_it() {
    let platform = platform().await;
    let store = client(&platform);
    platform.set_fault(&PlatformFault {
        lose_answers: Some(1),
        ..PlatformFault::default()
    });

    let outcome = store.transact(vec![put("/k", absent(), "x")]).await;
    let value = store.get("/k").await.expect("readable");

    assert!(matches!(outcome, Err(StoreError::Ambiguous(..))));
    assert_eq!(value.expect("the write took effect").value, "x");
    assert_eq!(platform.stats().lost_answers, 1);
    let counter = store.counter();
    assert_eq!(
        counter.get(StoreCallKind::Transaction, StoreCallResult::Ambiguous),
        1
    );
}

#[tokio::test]
async fn a_refused_connection_is_unreachable_and_the_write_has_no_effect() {
    let platform = platform().await;
    let store = client(&platform);
    platform.set_fault(&connections(GateState::Refuse));
    wait_for_connect(&platform, false).await;

    let write = store.transact(vec![put("/k", absent(), "x")]).await;
    let read = store.get("/k").await;
    platform.set_fault(&connections(GateState::Open));
    wait_for_connect(&platform, true).await;

    assert!(matches!(write, Err(StoreError::Unreachable(..))));
    assert!(matches!(read, Err(StoreError::Unreachable(..))));
    assert_eq!(store.get("/k").await, Ok(None));
}

#[tokio::test]
async fn a_watch_follows_the_changes_below_its_prefix() {
    let platform = platform().await;
    let store = client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");

    platform.put("/b/1", "other");
    platform.put("/a/1", "x");
    let batch = watch.next().await.expect("open").expect("a batch");

    assert_eq!(keys(&batch), ["/a/1"]);
    assert_eq!(batch.revision, StoreRevision(platform.stats().revision));
}
