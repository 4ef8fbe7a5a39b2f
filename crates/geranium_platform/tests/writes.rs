//! Reads and writes of the etcd client.

use geranium_core::id::StoreRevision;
use geranium_fakes::fixture::{ABSENT, applied, platform, put, store_client};
use geranium_platform::prelude::*;

#[tokio::test]
async fn a_written_value_is_read_back_with_its_revision() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);

    let revision = applied(store.transact(vec![put("/a/1", ABSENT, "x")]).await);
    let value = store.get("/a/1").await.expect("readable");

    let value = value.expect("present");
    assert_eq!(value.revision, revision);
    assert_eq!(value.value, "x");
}

#[tokio::test]
async fn a_range_holds_exactly_the_keys_below_its_prefix() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
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
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let writers = ["one", "two", "three", "four", "five"];

    let attempts = writers.map(|value| {
        let store = store.clone();
        async move { store.transact(vec![put("/record", ABSENT, value)]).await }
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
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    platform.put("/taken", "old");

    let swaps = vec![put("/free", ABSENT, "x"), put("/taken", ABSENT, "x")];
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
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let revision = applied(store.transact(vec![put("/k", ABSENT, "x")]).await);
    let delete = |expected| Swap {
        key: "/k".to_owned(),
        expected,
        value: None,
        lease: None,
    };

    let stale = store.transact(vec![delete(ABSENT)]).await;
    let right = store.transact(vec![delete(revision)]).await;

    assert!(matches!(stale, Ok(CasOutcome::Conflict(_))));
    applied(right);
    assert_eq!(store.get("/k").await, Ok(None));
}
