//! Eras that answers of the service state.

use geranium_platform::{EraTracker, StoreEra, StoreError};

/// Creates a tracker that has seen an era.
fn tracker_in(era: u64) -> EraTracker {
    let tracker = EraTracker::default();
    let first = tracker.observe(None, Some(StoreEra(era)));
    assert_eq!(first, Ok(()));
    tracker
}

#[test]
fn an_era_is_a_whole_number() {
    assert_eq!(StoreEra::parse(" 7 "), Some(StoreEra(7)));
    for text in ["", "many", "-1", "1.5", "18446744073709551616"] {
        assert_eq!(StoreEra::parse(text), None, "{text:?}");
    }
}

#[test]
fn answers_without_an_era_are_taken_as_they_are() {
    let tracker = tracker_in(4);

    assert_eq!(tracker.observe(tracker.current(), None), Ok(()));
    assert_eq!(tracker.current(), Some(StoreEra(4)));
}

/// Guards against an answer that is trusted although the call was made for the contents that
/// are gone.
#[test]
fn each_call_from_before_a_restore_learns_of_it() {
    let tracker = tracker_in(4);
    let mut eras = tracker.subscribe();
    eras.borrow_and_update();
    let sent = tracker.current();

    let first = tracker.observe(sent, Some(StoreEra(5)));
    let second = tracker.observe(sent, Some(StoreEra(5)));
    let later = tracker.observe(tracker.current(), Some(StoreEra(5)));

    assert_eq!(first, Err(StoreError::Restored(4, 5)));
    assert_eq!(second, Err(StoreError::Restored(4, 5)));
    assert_eq!(later, Ok(()));
    assert!(eras.has_changed().expect("the tracker lives"));
}

/// Guards against an answer that another one has overtaken.
#[test]
fn an_answer_of_an_older_era_is_discarded() {
    let tracker = tracker_in(4);

    let older = tracker.observe(tracker.current(), Some(StoreEra(3)));

    assert_eq!(older, Err(StoreError::Outdated(3, 4)));
    assert_eq!(tracker.current(), Some(StoreEra(4)));
}

/// Guards against one wrong value after which every true answer looks outdated.
#[test]
fn an_era_that_leaps_is_discarded() {
    let tracker = tracker_in(4);

    let leap = tracker.observe(tracker.current(), Some(StoreEra(u64::MAX)));

    assert_eq!(leap, Err(StoreError::Outdated(u64::MAX, 4)));
    assert_eq!(tracker.current(), Some(StoreEra(4)));
}

/// Guards against an entry host that is deaf for good, as the service was set up anew.
#[test]
fn an_older_era_that_all_answers_state_is_the_present_one() {
    let tracker = tracker_in(400);

    let answers = (0..40).map(|_| tracker.observe(tracker.current(), Some(StoreEra(1))));
    let taken = answers.filter(Result::is_ok).count();

    assert!(taken > 0);
    assert_eq!(tracker.current(), Some(StoreEra(1)));
}
