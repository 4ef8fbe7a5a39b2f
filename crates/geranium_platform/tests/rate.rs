//! The rate limit of calls.

use std::time::Duration;

use geranium_core::time::Timestamp;
use geranium_platform::TokenBucket;

#[test]
fn a_full_bucket_allows_the_calls_of_one_second_at_once() {
    let start = Timestamp::from_millis(1_000);
    let mut bucket = TokenBucket::new(3, start);

    let taken = [start; 4].map(|now| bucket.try_take(now).is_ok());

    assert_eq!(taken, [true, true, true, false]);
}

#[test]
fn an_empty_bucket_tells_when_the_next_call_is_allowed() {
    let start = Timestamp::from_millis(1_000);
    let mut bucket = TokenBucket::new(1, start);
    bucket.try_take(start).expect("full");

    let wait = bucket.try_take(start + Duration::from_millis(400));
    let early = bucket.try_take(start + Duration::from_millis(999));
    let due = bucket.try_take(start + Duration::from_millis(1_000));

    assert_eq!(wait, Err(Duration::from_millis(600)));
    assert_eq!(early, Err(Duration::from_millis(1)));
    assert_eq!(due, Ok(()));
}

#[test]
fn an_idle_bucket_never_holds_more_than_one_second() {
    let start = Timestamp::from_millis(0);
    let mut bucket = TokenBucket::new(2, start);
    let later = start + Duration::from_secs(3_600);

    let taken = [later; 3].map(|now| bucket.try_take(now).is_ok());

    assert_eq!(taken, [true, true, false]);
}
