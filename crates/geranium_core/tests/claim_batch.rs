//! Tests of the batching of claim writes.

use std::time::Duration;

use geranium_core::once::*;
use geranium_core::prelude::*;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn write(call: u64, key: &str) -> BatchWrite {
    BatchWrite {
        call,
        op: 1,
        key: key.to_owned(),
        value: "{}".into(),
        expected: StoreRevision(0),
    }
}

fn batcher(cfg: BatchConfig) -> ClaimBatcher {
    ClaimBatcher::new(BatchConfig {
        transactions_per_second: 10.0,
        burst: 10.0,
        ..cfg
    })
}

fn calls(batch: &Batch) -> Vec<u64> {
    batch.writes.iter().map(|write| write.call).collect()
}

#[test]
fn idle_sender_sends_at_once_and_a_busy_one_gathers() {
    let mut batcher = batcher(BatchConfig::default());

    batcher.push(write(1, "a"));
    let first = batcher.next_batch(NOW).expect("a transaction");
    batcher.push(write(2, "b"));
    batcher.push(write(3, "c"));
    let while_busy = batcher.next_batch(NOW);
    batcher.finish(first.id, BatchOutcome::Applied(StoreRevision(1)));
    let second = batcher.next_batch(NOW).expect("a transaction");

    assert_eq!(calls(&first), [1]);
    assert_eq!(while_busy, None);
    assert_eq!(calls(&second), [2, 3]);
}

#[test]
fn full_transaction_is_sent_while_another_is_in_flight() {
    let mut batcher = batcher(BatchConfig {
        max_writes: 2,
        ..BatchConfig::default()
    });
    batcher.push(write(1, "a"));
    batcher.next_batch(NOW).expect("a transaction");

    batcher.push(write(2, "b"));
    batcher.push(write(3, "c"));

    let full = batcher.next_batch(NOW).expect("a transaction");
    assert_eq!(calls(&full), [2, 3]);
}

#[test]
fn conflict_fails_only_the_conflicting_write() {
    let mut batcher = batcher(BatchConfig::default());
    batcher.push(write(1, "a"));
    batcher.push(write(2, "b"));
    let batch = batcher.next_batch(NOW).expect("a transaction");
    let present = StoredClaim {
        claim: None,
        revision: StoreRevision(4),
    };

    let conflict = BatchOutcome::Conflict(vec![("a".into(), present.clone())]);
    let results = batcher.finish(batch.id, conflict);

    let lost = WriteResult {
        call: 1,
        op: 1,
        outcome: WriteOutcome::Conflict(Some(present)),
    };
    assert_eq!(results, [lost]);
    let again = batcher.next_batch(NOW).expect("a transaction");
    assert_eq!(calls(&again), [2]);
}

#[test]
fn ambiguous_transaction_is_ambiguous_for_each_of_its_calls() {
    let mut batcher = batcher(BatchConfig::default());
    batcher.push(write(1, "a"));
    batcher.push(write(2, "b"));
    let batch = batcher.next_batch(NOW).expect("a transaction");

    let results = batcher.finish(batch.id, BatchOutcome::Ambiguous);

    let outcomes: Vec<_> = results.into_iter().map(|r| (r.call, r.outcome)).collect();
    assert_eq!(
        outcomes,
        [(1, WriteOutcome::Ambiguous), (2, WriteOutcome::Ambiguous)]
    );
    assert_eq!(batcher.next_batch(NOW), None);
}

#[test]
fn key_occurs_once_in_a_transaction() {
    let mut batcher = batcher(BatchConfig::default());
    batcher.push(write(1, "a"));
    batcher.push(write(2, "a"));
    batcher.push(write(3, "b"));

    let first = batcher.next_batch(NOW).expect("a transaction");
    batcher.finish(first.id, BatchOutcome::Applied(StoreRevision(1)));
    let second = batcher.next_batch(NOW).expect("a transaction");

    assert_eq!(calls(&first), [1, 3]);
    assert_eq!(calls(&second), [2]);
}

#[test]
fn rate_limit_delays_the_next_transaction_until_next_wake() {
    let mut batcher = batcher(BatchConfig::default());
    for call in 0..10 {
        batcher.push(write(call, "a"));
        let batch = batcher.next_batch(NOW).expect("within the burst");
        batcher.finish(batch.id, BatchOutcome::Applied(StoreRevision(1)));
    }
    batcher.push(write(11, "a"));

    assert_eq!(batcher.next_batch(NOW), None);

    let wake = batcher.next_wake().expect("a wake");
    assert_eq!(wake, NOW + Duration::from_millis(100));
    assert!(batcher.next_batch(wake).is_some());
}

#[test]
fn transaction_respects_max_bytes_unless_one_write_is_larger() {
    let mut batcher = batcher(BatchConfig {
        max_bytes: 3,
        ..BatchConfig::default()
    });
    let large = BatchWrite {
        value: "0123456789".into(),
        ..write(1, "a")
    };
    batcher.push(large);
    batcher.push(write(2, "b"));
    batcher.push(write(3, "c"));

    let first = batcher.next_batch(NOW).expect("a transaction");
    batcher.finish(first.id, BatchOutcome::NoEffect);
    let second = batcher.next_batch(NOW).expect("a transaction");

    assert_eq!(calls(&first), [1]);
    assert_eq!(calls(&second), [2]);
}

#[test]
fn full_queue_refuses_new_calls_with_its_drain_time() {
    let mut batcher = batcher(BatchConfig {
        max_writes: 2,
        max_queued: 4,
        ..BatchConfig::default()
    });
    for call in 0..4 {
        assert_eq!(batcher.admit(NOW), Ok(()));
        batcher.push(write(call, &format!("key{call}")));
    }

    assert_eq!(batcher.admit(NOW), Err(Duration::from_millis(200)));
}

#[test]
fn rate_change_applies_from_the_time_of_the_change() {
    let mut batcher = batcher(BatchConfig {
        max_writes: 1,
        ..BatchConfig::default()
    });
    for call in 0..11 {
        batcher.push(write(call, &format!("k{call}")));
        if let Some(batch) = batcher.next_batch(NOW) {
            batcher.finish(batch.id, BatchOutcome::Applied(StoreRevision(call)));
        }
    }

    batcher.set_rate(NOW, 100.0);
    let soon = batcher.next_batch(NOW + Duration::from_millis(5));
    let later = batcher.next_batch(NOW + Duration::from_millis(10));

    assert_eq!(soon, None);
    assert!(later.is_some());
}
