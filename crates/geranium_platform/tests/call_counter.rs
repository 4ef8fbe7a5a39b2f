//! Tests of the counts of calls to the store.

use geranium_platform::{StoreCallCounter, StoreCallKind, StoreCallResult};

/// Guards against totals that are read while calls are counted, where more calls were answered than
/// sent: the difference overflowed and ended the thread that shows the state of an entry host.
#[test]
fn totals_hold_while_calls_are_counted() {
    let counter = StoreCallCounter::default();

    let seen: Vec<(u64, u64)> = std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..500_000 {
                counter.count(StoreCallKind::ALL[0], StoreCallResult::Answered);
            }
        });
        (0..20_000).map(|_| counter.totals()).collect()
    });

    assert!(seen.iter().all(|(_, unanswered)| *unanswered == 0));
    assert_eq!(counter.totals(), (500_000, 0));
}
