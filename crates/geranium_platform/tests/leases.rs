//! Leases of the etcd client.

use std::time::Duration;

use geranium_fakes::fixture::{ABSENT, applied, next_changes, platform, put, store_client};
use geranium_fakes::platform::PlatformFault;
use geranium_platform::prelude::*;

#[tokio::test]
async fn values_of_a_lease_end_with_it() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let lease = store
        .grant_lease(Duration::from_secs(1))
        .await
        .expect("granted");
    let swap = Swap {
        lease: Some(lease),
        ..put("/leader", ABSENT, "me")
    };
    let written = applied(store.transact(vec![swap]).await);
    let mut watch = store.watch("/leader", written).await.expect("opened");

    let batch = next_changes(&mut watch).await;

    assert!(matches!(&batch.changes[..], [WatchChange::Deleted { key, .. }] if key == "/leader"));
    assert_eq!(store.get("/leader").await, Ok(None));
    assert_eq!(
        store.keep_alive(lease).await,
        Err(StoreError::LeaseNotFound(lease.0))
    );
}

#[tokio::test]
async fn a_lease_is_kept_alive_until_it_ends() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
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
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
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
        ..put("/leader", ABSENT, "me")
    };
    let outcome = store.transact(vec![swap]).await;

    assert_eq!(outcome, Err(StoreError::LeaseNotFound(lease.0)));
    assert_eq!(store.get("/leader").await, Ok(None));
}

#[tokio::test]
async fn a_revoked_lease_takes_its_values_and_cannot_be_revoked_again() {
    let platform = platform().await.expect("started");
    let store = store_client(&platform);
    let lease = store
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("granted");
    let swap = Swap {
        lease: Some(lease),
        ..put("/leader", ABSENT, "me")
    };
    applied(store.transact(vec![swap]).await);

    let first = store.revoke_lease(lease).await;
    let second = store.revoke_lease(lease).await;

    assert_eq!(first, Ok(()));
    assert_eq!(second, Err(StoreError::LeaseNotFound(lease.0)));
    assert_eq!(store.get("/leader").await, Ok(None));
}
