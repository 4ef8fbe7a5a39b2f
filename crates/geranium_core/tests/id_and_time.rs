//! Tests of identifiers, timestamps and the hybrid logical clock.

use std::time::Duration;

use geranium_core::id::{HostId, IdError};
use geranium_core::time::{HybridClock, HybridTime, Timestamp};

#[test]
fn identifier_rejects_empty_long_and_invalid_text() {
    let empty = "".parse::<HostId>();
    let long = "h".repeat(129).parse::<HostId>();
    let invalid = "a/b".parse::<HostId>();

    assert_eq!(empty, Err(IdError::Empty("host")));
    assert_eq!(long, Err(IdError::TooLong("host", 129)));
    assert_eq!(
        invalid,
        Err(IdError::InvalidCharacter("host", "a/b".into(), '/'))
    );
}

#[test]
fn identifier_round_trips_through_json() {
    let id = HostId::new("lima-1.h7");

    let text = serde_json::to_string(&id).expect("serializable");
    let back: HostId = serde_json::from_str(&text).expect("deserializable");

    assert_eq!(text, "\"lima-1.h7\"");
    assert_eq!(back, id);
}

#[test]
fn timestamp_difference_saturates_at_zero() {
    let early = Timestamp::from_millis(10);
    let late = early + Duration::from_millis(5);

    assert_eq!(late.since(early), Duration::from_millis(5));
    assert_eq!(early.since(late), Duration::ZERO);
}

#[test]
fn hybrid_clock_orders_a_receive_after_its_send_despite_clock_skew() {
    let mut ahead = HybridClock::default();
    let mut behind = HybridClock::default();
    let sent = ahead.tick(Timestamp::from_millis(2_000));

    let received = behind.observe(Timestamp::from_millis(1_000), sent);
    let next = behind.tick(Timestamp::from_millis(1_001));

    assert!(received > sent);
    assert!(next > received);
    assert_eq!(next.wall, Timestamp::from_millis(2_000));
    assert!(next > HybridTime::default());
}
