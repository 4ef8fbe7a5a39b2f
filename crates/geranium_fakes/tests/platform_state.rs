//! Leases of the stand-in of the platform, with the time as an argument.

use std::time::Duration;

use bytes::Bytes;
use geranium_core::time::Timestamp;
use geranium_fakes::platform::PlatformState;
use geranium_platform::etcd::wire::{
    Base64, Int64, PutRequest, RangeRequest, RequestOp, TxnRequest,
};

const TTL: Duration = Duration::from_secs(10);

fn start() -> Timestamp {
    Timestamp::from_millis(1_000)
}

fn put_with_lease(state: &mut PlatformState, key: &str, lease: u64) {
    let put = RequestOp {
        request_put: Some(PutRequest {
            key: Base64::from_text(key),
            value: Base64(Bytes::from_static(b"x")),
            lease: Int64(lease),
        }),
        ..RequestOp::default()
    };
    let txn = TxnRequest {
        success: vec![put],
        ..TxnRequest::default()
    };
    state.transact(&txn).expect("a valid transaction");
}

fn all_keys(state: &PlatformState) -> Vec<String> {
    let everything = RangeRequest {
        key: Base64::default(),
        range_end: Base64(Bytes::from_static(&[0])),
    };
    let read = state.range(&everything);
    read.kvs.iter().map(|kv| kv.key.to_text()).collect()
}

#[test]
fn a_lease_ends_at_its_time_and_not_before() {
    let mut state = PlatformState::new(100);
    let lease = state.grant(0, TTL, start());
    put_with_lease(&mut state, "/a", lease);

    let early = state.expire(start() + TTL - Duration::from_micros(1));
    let due = state.expire(start() + TTL);

    assert!(!early);
    assert!(due);
    assert_eq!(all_keys(&state), [""; 0]);
}

#[test]
fn a_lease_that_is_kept_alive_outlives_its_first_time() {
    let mut state = PlatformState::new(100);
    let lease = state.grant(0, TTL, start());
    put_with_lease(&mut state, "/a", lease);

    let kept = state.keep_alive(lease, start() + TTL / 2);
    state.expire(start() + TTL);
    let after_first = all_keys(&state);
    state.expire(start() + TTL / 2 + TTL);

    assert_eq!(kept, Some(TTL));
    assert_eq!(after_first, ["/a"]);
    assert_eq!(all_keys(&state), [""; 0]);
}

#[test]
fn a_value_that_was_written_again_without_the_lease_stays() {
    let mut state = PlatformState::new(100);
    let lease = state.grant(0, TTL, start());
    put_with_lease(&mut state, "/a", lease);

    state.put("/a", Bytes::from_static(b"y"));
    state.expire(start() + TTL);

    assert_eq!(all_keys(&state), ["/a"]);
}

#[test]
fn the_history_forgets_whole_revisions_from_the_oldest_on() {
    let mut state = PlatformState::new(2);
    let everything = RangeRequest {
        key: Base64::default(),
        range_end: Base64(Bytes::from_static(&[0])),
    };
    for key in ["/1", "/2", "/3"] {
        state.put(key, Bytes::from_static(b"x"));
    }

    let kept: Vec<u64> = state
        .changes(0, &everything)
        .iter()
        .map(|change| change.revision)
        .collect();

    assert_eq!(kept, [3, 4]);
    assert_eq!(state.compacted_before(2), Some(2));
    assert_eq!(state.compacted_before(3), None);
}

#[test]
fn the_history_of_large_values_is_bounded() {
    let mut state = PlatformState::new(1_000);
    let value = Bytes::from(vec![b'x'; 1 << 20]);
    for _ in 0..65 {
        state.put("/large", value.clone());
    }

    assert_eq!(state.compacted_before(2), Some(2));
    assert_eq!(state.compacted_before(3), None);
    assert_eq!(all_keys(&state), ["/large"]);
}
