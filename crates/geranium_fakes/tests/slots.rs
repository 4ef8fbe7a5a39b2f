//! The queue of an engine.

use futures::FutureExt;
use geranium_fakes::engine::SlotQueue;

#[test]
fn a_freed_slot_goes_to_the_highest_priority_and_then_to_the_first() {
    let queue = SlotQueue::new(1);
    let running = queue.acquire(0).now_or_never().expect("free");
    let mut low = Box::pin(queue.acquire(1));
    let mut high = Box::pin(queue.acquire(9));
    let mut high_later = Box::pin(queue.acquire(9));
    assert_eq!(queue.load(), (1, 3));

    drop(running);
    let first = high.as_mut().now_or_never().expect("highest priority");
    assert!(high_later.as_mut().now_or_never().is_none());
    drop(first);
    let second = high_later
        .as_mut()
        .now_or_never()
        .expect("next of the same");
    assert!(low.as_mut().now_or_never().is_none());
    drop(second);

    assert!(low.as_mut().now_or_never().is_some());
    assert_eq!(queue.peak(), 1);
}

#[test]
fn a_request_that_leaves_the_queue_takes_no_slot() {
    let queue = SlotQueue::new(1);
    let running = queue.acquire(0).now_or_never().expect("free");
    let leaving = queue.acquire(9);
    let mut staying = Box::pin(queue.acquire(0));

    drop(leaving);
    drop(running);

    assert!(staying.as_mut().now_or_never().is_some());
}

#[test]
fn a_slot_handed_to_a_request_that_then_leaves_is_free_again() {
    let queue = SlotQueue::new(1);
    let running = queue.acquire(0).now_or_never().expect("free");
    let handed = queue.acquire(0);

    drop(running);
    drop(handed);

    assert_eq!(queue.load(), (0, 0));
}
