//! The etcd client against the stand-in of the platform.

use std::collections::BTreeMap;
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

async fn read_when_answered(store: &EtcdClient, key: &str) -> Option<StoredValue> {
    loop {
        if let Ok(value) = store.get(key).await {
            return value;
        }
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

#[tokio::test]
async fn of_two_endpoints_one_that_is_down_is_passed_over() {
    let (down, up) = (platform().await, platform().await);
    down.set_fault(&connections(GateState::Refuse));
    wait_for_connect(&down, false).await;
    let store = EtcdClient::new(EtcdConfig::new(vec![down.address(), up.address()]));

    let write = store.transact(vec![put("/k", absent(), "x")]).await;
    let read = store.get("/k").await.expect("readable");

    applied(write);
    assert_eq!(read.expect("present").value, "x");
    let counter = store.counter();
    let refused = counter.get(StoreCallKind::Transaction, StoreCallResult::Unreachable);
    assert_eq!(refused, 1);
    let refused = counter.get(StoreCallKind::Range, StoreCallResult::Unreachable);
    assert_eq!(refused, 0, "the endpoint that answered is preferred");
}

#[tokio::test]
async fn a_write_whose_answer_was_lost_is_not_sent_to_another_endpoint() {
    let (first, second) = (platform().await, platform().await);
    first.set_fault(&PlatformFault {
        lose_answers: Some(1),
        ..PlatformFault::default()
    });
    let store = EtcdClient::new(EtcdConfig::new(vec![first.address(), second.address()]));

    let outcome = store.transact(vec![put("/k", absent(), "x")]).await;

    assert!(matches!(outcome, Err(StoreError::Ambiguous(..))));
    assert_eq!(second.stats().calls, BTreeMap::new());
}

#[tokio::test]
async fn a_slow_service_leaves_a_write_ambiguous_and_a_read_unreachable() {
    let platform = platform().await;
    let store = EtcdClient::new(EtcdConfig {
        call_timeout: Duration::from_millis(50),
        ..EtcdConfig::new(vec![platform.address()])
    });
    platform.set_fault(&PlatformFault {
        answer_delay_ms: Some(60_000),
        ..PlatformFault::default()
    });

    let write = store.transact(vec![put("/k", absent(), "x")]).await;
    let read = store.get("/k").await;

    assert!(matches!(write, Err(StoreError::Ambiguous(..))));
    assert!(matches!(read, Err(StoreError::Unreachable(..))));
}

#[tokio::test]
async fn a_service_without_a_leader_leaves_a_write_ambiguous() {
    let platform = platform().await;
    let store = client(&platform);
    platform.set_fault(&PlatformFault {
        unavailable: Some(true),
        ..PlatformFault::default()
    });

    let write = store.transact(vec![put("/k", absent(), "x")]).await;
    let read = store.get("/k").await;
    let watch = store.watch("/", absent()).await.err();

    assert!(matches!(write, Err(StoreError::Ambiguous(..))));
    assert!(matches!(read, Err(StoreError::Unreachable(..))));
    assert!(matches!(watch, Some(StoreError::Unreachable(..))));
}

#[tokio::test]
async fn the_rate_limit_of_the_service_refuses_without_effect() {
    let platform = FakePlatform::start(PlatformConfig {
        max_writes_per_second: Some(0),
        ..PlatformConfig::default()
    })
    .await
    .expect("loopback can be listened on");
    let store = client(&platform);

    let outcome = store.transact(vec![put("/k", absent(), "x")]).await;

    assert!(matches!(outcome, Err(StoreError::Refused(_, 429, _))));
    assert_eq!(store.get("/k").await, Ok(None));
    assert_eq!(platform.stats().rate_limited["transaction"], 1);
}

#[tokio::test]
async fn the_rate_limit_of_the_client_holds_calls_back() {
    let platform = platform().await;
    let store = EtcdClient::new(EtcdConfig {
        max_reads_per_second: Some(0),
        ..EtcdConfig::new(vec![platform.address()])
    });

    let read = store.get("/k").await;
    let write = store.transact(vec![put("/k", absent(), "x")]).await;

    assert!(matches!(read, Err(StoreError::RateLimited(key, _)) if key == "/k"));
    applied(write);
    assert_eq!(platform.stats().calls.get("range"), None);
    assert_eq!(store.counter().sent(StoreCallKind::Range), 0);
}

#[tokio::test]
async fn values_of_a_lease_end_with_it() {
    let platform = platform().await;
    let store = client(&platform);
    let lease = store
        .grant_lease(Duration::from_secs(1))
        .await
        .expect("granted");
    let swap = Swap {
        lease: Some(lease),
        ..put("/leader", absent(), "me")
    };
    let written = applied(store.transact(vec![swap]).await);
    let mut watch = store.watch("/leader", written).await.expect("opened");

    let batch = watch.next().await.expect("open").expect("a batch");

    assert!(matches!(&batch.changes[..], [WatchChange::Deleted { key, .. }] if key == "/leader"));
    assert_eq!(store.get("/leader").await, Ok(None));
    assert_eq!(
        store.keep_alive(lease).await,
        Err(StoreError::LeaseNotFound(lease.0))
    );
}

#[tokio::test]
async fn a_lease_is_kept_alive_until_it_ends() {
    let platform = platform().await;
    let store = client(&platform);
    let ttl = Duration::from_millis(59_500);
    let lease = store.grant_lease(ttl).await.expect("granted");

    let kept = store.keep_alive(lease).await;
    platform.set_fault(&PlatformFault {
        expire_leases: true,
        ..PlatformFault::default()
    });
    let ended = store.keep_alive(lease).await;

    assert_eq!(kept, Ok(Duration::from_secs(60)), "rounded up");
    assert_eq!(ended, Err(StoreError::LeaseNotFound(lease.0)));
}

#[tokio::test]
async fn a_lease_that_lapsed_unnoticed_refuses_a_write() {
    let platform = platform().await;
    let store = client(&platform);
    let lease = store
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("granted");
    platform.set_fault(&PlatformFault {
        expire_leases: true,
        ..PlatformFault::default()
    });

    let swap = Swap {
        lease: Some(lease),
        ..put("/leader", absent(), "me")
    };
    let outcome = store.transact(vec![swap]).await;

    assert_eq!(outcome, Err(StoreError::LeaseNotFound(lease.0)));
    assert_eq!(store.get("/leader").await, Ok(None));
}

#[tokio::test]
async fn a_revoked_lease_takes_its_values_and_cannot_be_revoked_again() {
    let platform = platform().await;
    let store = client(&platform);
    let lease = store
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("granted");
    let swap = Swap {
        lease: Some(lease),
        ..put("/leader", absent(), "me")
    };
    applied(store.transact(vec![swap]).await);

    let first = store.revoke_lease(lease).await;
    let second = store.revoke_lease(lease).await;

    assert_eq!(first, Ok(()));
    assert_eq!(second, Err(StoreError::LeaseNotFound(lease.0)));
    assert_eq!(store.get("/leader").await, Ok(None));
}

#[tokio::test]
async fn a_watch_goes_on_after_a_gap_without_missing_a_change() {
    let platform = platform().await;
    let store = client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");
    platform.put("/a/1", "x");
    let reached = watch.next().await.expect("open").expect("a batch").revision;

    platform.set_fault(&connections(GateState::Close));
    let broken = watch.next().await;
    let ended = watch.next().await;
    platform.put("/a/2", "x");
    platform.put("/a/3", "x");
    platform.set_fault(&connections(GateState::Open));
    let mut watch = store.watch("/a/", reached).await.expect("opened again");
    let mut seen = Vec::new();
    while seen.len() < 2 {
        let batch = watch.next().await.expect("open").expect("a batch");
        seen.extend(keys(&batch).into_iter().map(str::to_owned));
    }

    assert!(matches!(broken, Some(Err(StoreError::Unreachable(..)))));
    assert_eq!(ended, None);
    assert_eq!(seen, ["/a/2", "/a/3"]);
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_is_told_so() {
    let platform = platform().await;
    let store = client(&platform);
    let start = store.range("/").await.expect("readable").revision;
    platform.put("/1", "x");
    platform.put("/2", "x");
    platform.set_fault(&PlatformFault {
        compact: true,
        ..PlatformFault::default()
    });

    let mut watch = store.watch("/", start).await.expect("opened");
    let first = watch.next().await;
    let present = store.range("/").await.expect("readable");
    let mut watch = store.watch("/", present.revision).await.expect("opened");
    platform.put("/3", "x");
    let batch = watch.next().await.expect("open").expect("a batch");

    assert_eq!(first, Some(Err(StoreError::Compacted(start.0))));
    assert_eq!(present.values.len(), 2);
    assert_eq!(keys(&batch), ["/3"]);
}

#[tokio::test]
async fn a_compaction_does_not_end_a_watch_that_has_caught_up() {
    let platform = platform().await;
    let store = client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");

    platform.put("/b/1", "x");
    platform.put("/a/1", "x");
    let first = watch.next().await.expect("open").expect("a batch");
    platform.set_fault(&PlatformFault {
        compact: true,
        ..PlatformFault::default()
    });
    platform.put("/a/2", "x");
    let second = watch.next().await.expect("open").expect("a batch");

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
    let store = client(&platform);
    let start = store.range("/a/").await.expect("readable").revision;
    let mut watch = store.watch("/a/", start).await.expect("opened");
    platform.put("/b/1", "x");
    let revision = StoreRevision(platform.stats().revision);

    let mut reached = start;
    while reached < revision {
        let batch = watch.next().await.expect("open").expect("a batch");
        assert_eq!(batch.changes, []);
        reached = batch.revision;
    }

    assert_eq!(reached, revision);
    assert_eq!(platform.stats().calls["watch"], 1);
    assert_eq!(platform.stats().open_watches, 1);
    assert_eq!(store.counter().sent(StoreCallKind::Watch), 1);
}

#[tokio::test]
async fn a_silent_watch_ends_with_an_error() {
    let platform = platform().await;
    let store = EtcdClient::new(EtcdConfig {
        watch_idle_timeout: Duration::from_millis(20),
        ..EtcdConfig::new(vec![platform.address()])
    });

    let mut watch = store.watch("/", StoreRevision(1)).await.expect("opened");
    let silent = watch.next().await;

    assert!(matches!(silent, Some(Err(StoreError::Unreachable(..)))));
}

#[tokio::test]
async fn a_dropped_watch_ends_at_the_service() {
    let platform = platform().await;
    let store = client(&platform);
    let watch = store.watch("/", StoreRevision(1)).await.expect("opened");
    assert_eq!(platform.stats().open_watches, 1);

    drop(watch);

    while platform.stats().open_watches > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn a_restored_copy_goes_back_in_revision_and_cuts_watches() {
    let platform = platform().await;
    let store = client(&platform);
    platform.put("/k", "old");
    platform.set_fault(&PlatformFault {
        snapshot: true,
        ..PlatformFault::default()
    });
    platform.put("/k", "new");
    let new = store.get("/k").await.expect("readable").expect("present");
    let mut watch = store.watch("/", new.revision).await.expect("opened");

    platform.set_fault(&PlatformFault {
        restore: true,
        ..PlatformFault::default()
    });
    let cut = watch.next().await;
    let old = store.get("/k").await.expect("readable").expect("present");

    assert!(matches!(cut, Some(Err(StoreError::Unreachable(..)))));
    assert_eq!(old.value, "old");
    assert!(old.revision < new.revision);
}

#[tokio::test]
async fn lost_answers_by_probability_are_the_same_for_the_same_seed() {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let platform = platform().await;
        let store = client(&platform);
        platform.set_fault(&PlatformFault {
            lose_probability: Some(0.5),
            seed: Some(7),
            ..PlatformFault::default()
        });
        let mut lost = Vec::new();
        for i in 0..20 {
            let swap = put(&format!("/{i}"), absent(), "x");
            lost.push(store.transact(vec![swap]).await.is_err());
        }
        outcomes.push(lost);
    }

    assert_eq!(outcomes[0], outcomes[1]);
    assert!(outcomes[0].contains(&true) && outcomes[0].contains(&false));
}

#[tokio::test]
async fn one_address_can_be_cut_off_while_another_serves_the_same_values() {
    let platform = FakePlatform::start(PlatformConfig {
        more_listen: vec!["127.0.0.1:0".parse().expect("an address")],
        ..PlatformConfig::default()
    })
    .await
    .expect("loopback can be listened on");
    let [cut_off, connected] = platform.addresses()[..] else {
        panic!("two addresses");
    };
    platform.set_fault(&PlatformFault {
        endpoint: Some(0),
        ..connections(GateState::Hang)
    });
    let cut_off = EtcdClient::new(EtcdConfig {
        call_timeout: Duration::from_millis(100),
        ..EtcdConfig::new(vec![cut_off])
    });
    let connected = EtcdClient::new(EtcdConfig::new(vec![connected]));

    applied(connected.transact(vec![put("/k", absent(), "x")]).await);
    let partitioned = cut_off.transact(vec![put("/late", absent(), "x")]).await;
    let before = connected.get("/late").await;
    platform.set_fault(&connections(GateState::Open));
    let healed = read_when_answered(&cut_off, "/k").await;

    assert!(matches!(partitioned, Err(StoreError::Ambiguous(..))));
    assert_eq!(before, Ok(None));
    assert_eq!(healed.expect("present").value, "x");
}
