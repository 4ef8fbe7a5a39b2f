//! The etcd client while the service fails.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::StreamExt;
use geranium_fakes::fixture::{
    ABSENT, applied, connections, expect_soon, platform, put, store_client, wait_for_connect,
};
use geranium_fakes::http::GateState;
use geranium_fakes::platform::PlatformFault;
use geranium_fakes::{FakePlatform, PlatformConfig};
use geranium_platform::prelude::*;
use geranium_platform::{StoreCallKind, StoreCallResult};

async fn read_when_answered(store: &EtcdClient, key: &str) -> Option<StoredValue> {
    loop {
        if let Ok(value) = store.get(key).await {
            return value;
        }
    }
}

#[tokio::test]
async fn a_lost_answer_is_ambiguous_and_reading_back_settles_it() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    platform.set_fault(&PlatformFault {
        lose_answers: Some(1),
        ..PlatformFault::default()
    });

    let outcome = store.transact(vec![put("/k", ABSENT, "x")]).await;
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
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    platform.set_fault(&connections(GateState::Refuse));
    wait_for_connect(platform.address(), false).await;

    let write = store.transact(vec![put("/k", ABSENT, "x")]).await;
    let read = store.get("/k").await;
    platform.set_fault(&connections(GateState::Open));
    wait_for_connect(platform.address(), true).await;

    assert!(matches!(write, Err(StoreError::Unreachable(..))));
    assert!(matches!(read, Err(StoreError::Unreachable(..))));
    assert_eq!(store.get("/k").await, Ok(None));
}

#[tokio::test]
async fn of_two_endpoints_one_that_is_down_is_passed_over() {
    let (down, up) = (
        platform().await.expect("started"),
        platform().await.expect("started"),
    );
    down.set_fault(&connections(GateState::Refuse));
    wait_for_connect(down.address(), false).await;
    let store = EtcdClient::new(EtcdConfig::new(vec![down.address(), up.address()]));

    let write = store.transact(vec![put("/k", ABSENT, "x")]).await;
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
    let (first, second) = (
        platform().await.expect("started"),
        platform().await.expect("started"),
    );
    first.set_fault(&PlatformFault {
        lose_answers: Some(1),
        ..PlatformFault::default()
    });
    let store = EtcdClient::new(EtcdConfig::new(vec![first.address(), second.address()]));

    let outcome = store.transact(vec![put("/k", ABSENT, "x")]).await;

    assert!(matches!(outcome, Err(StoreError::Ambiguous(..))));
    assert_eq!(second.stats().calls, BTreeMap::new());
}

#[tokio::test]
async fn a_slow_service_leaves_a_write_ambiguous_and_a_read_unreachable() {
    let platform = platform().await.expect("started");
    let store = EtcdClient::new(EtcdConfig {
        call_timeout: Duration::from_millis(50),
        ..EtcdConfig::new(vec![platform.address()])
    });
    platform.set_fault(&PlatformFault {
        answer_delay_ms: Some(60_000),
        ..PlatformFault::default()
    });

    let write = store.transact(vec![put("/k", ABSENT, "x")]).await;
    let read = store.get("/k").await;

    assert!(matches!(write, Err(StoreError::Ambiguous(..))));
    assert!(matches!(read, Err(StoreError::Unreachable(..))));
}

#[tokio::test]
async fn a_service_without_a_leader_leaves_a_write_ambiguous() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    platform.set_fault(&PlatformFault {
        unavailable: Some(true),
        ..PlatformFault::default()
    });

    let write = store.transact(vec![put("/k", ABSENT, "x")]).await;
    let read = store.get("/k").await;
    let watch = store.watch("/", ABSENT).await.err();

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
    let store = store_client(&platform);

    let outcome = store.transact(vec![put("/k", ABSENT, "x")]).await;

    assert!(matches!(outcome, Err(StoreError::Refused(_, 429, _))));
    assert_eq!(store.get("/k").await, Ok(None));
    assert_eq!(platform.stats().rate_limited["transaction"], 1);
}

#[tokio::test]
async fn the_rate_limit_of_the_client_holds_calls_back() {
    let platform = platform().await.expect("started");
    let store = EtcdClient::new(EtcdConfig {
        max_reads_per_second: Some(0),
        ..EtcdConfig::new(vec![platform.address()])
    });

    let read = store.get("/k").await;
    let write = store.transact(vec![put("/k", ABSENT, "x")]).await;

    assert!(matches!(read, Err(StoreError::RateLimited(key, _)) if key == "/k"));
    applied(write);
    assert_eq!(platform.stats().calls.get("range"), None);
    assert_eq!(store.counter().sent(StoreCallKind::Range), 0);
}

#[tokio::test]
async fn a_restored_copy_goes_back_in_revision_and_cuts_watches() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
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
    let cut = expect_soon("an item", watch.next()).await;
    let old = store.get("/k").await.expect("readable").expect("present");

    assert!(matches!(cut, Some(Err(StoreError::Unreachable(..)))));
    assert_eq!(old.value, "old");
    assert!(old.revision < new.revision);
}

#[tokio::test]
async fn lost_answers_by_probability_are_the_same_for_the_same_seed() {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let platform = platform().await.expect("started");
        let store = store_client(&platform);
        platform.set_fault(&PlatformFault {
            lose_probability: Some(0.5),
            seed: Some(7),
            ..PlatformFault::default()
        });
        let mut lost = Vec::new();
        for i in 0..20 {
            let swap = put(&format!("/{i}"), ABSENT, "x");
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

    applied(connected.transact(vec![put("/k", ABSENT, "x")]).await);
    let partitioned = cut_off.transact(vec![put("/late", ABSENT, "x")]).await;
    let before = connected.get("/late").await;
    platform.set_fault(&connections(GateState::Open));
    let healed = expect_soon("an answer", read_when_answered(&cut_off, "/k")).await;

    assert!(matches!(partitioned, Err(StoreError::Ambiguous(..))));
    assert_eq!(before, Ok(None));
    assert_eq!(healed.expect("present").value, "x");
}
