//! Tests of silent groups and observed demand.

mod engine;

use std::time::Duration;

use engine::{model, profile};
use geranium_core::time::Timestamp;
use geranium_fleet::prelude::*;
use geranium_fleet::silence::GroupActivity;

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn activity(writing: usize, waiting: usize, heard_ms_ago: u64) -> GroupActivity {
    GroupActivity {
        writing,
        waiting,
        waiting_tokens: 0.0,
        last_heard: NOW - Duration::from_millis(heard_ms_ago),
        oldest_sent: NOW - Duration::from_secs(9),
    }
}

#[test]
fn a_group_is_silent_after_two_of_its_longest_passes() {
    let engine = profile(vec![model("m", 2, 1.0)]);
    let thresholds = SilenceThresholds::new(&engine, 1.0);
    let pass = Duration::from_micros((engine.max_pass_ms() * 1_000.0) as u64);
    let silent = |a: &GroupActivity| thresholds.is_silent(a, engine.prefill_tokens_per_s, NOW);
    let ms = u64::try_from(pass.as_millis()).expect("a pass is short");

    assert!(!silent(&activity(3, 0, ms)));
    assert!(silent(&activity(3, 0, 2 * ms + 2)));
    assert!(!silent(&activity(0, 3, 2 * ms + 2)));
    assert!(!silent(&activity(0, 0, 60_000)));
}

/// Guards against a manager that cannot reach a failure domain that others reach, and
/// considers its groups stopped.
#[test]
fn a_group_that_was_heard_lately_has_not_stopped() {
    assert!(activity(3, 0, 100).contradicts_stop(NOW));
    assert!(activity(0, 3, 100).contradicts_stop(NOW));
    assert!(!activity(3, 0, 900).contradicts_stop(NOW));
}

#[test]
fn long_prompts_extend_the_silence_threshold() {
    let engine = profile(vec![model("m", 2, 1.0)]);
    let thresholds = SilenceThresholds::new(&engine, 1.0);
    let mut waiting = activity(0, 1, 1_500);
    assert!(thresholds.is_silent(&waiting, engine.prefill_tokens_per_s, NOW));

    waiting.waiting_tokens = engine.prefill_tokens_per_s;

    assert!(!thresholds.is_silent(&waiting, engine.prefill_tokens_per_s, NOW));
}

/// Guards against requests that are moved from one full group to the next, which reads their
/// prompts again everywhere and never lets the groups recover.
#[test]
fn requests_that_find_no_slot_wait_longer_before_the_group_counts_as_silent() {
    let engine = profile(vec![model("m", 2, 1.0)]);
    let estimate = FirstTokenEstimate::new(&engine, &engine.models[0]);
    let slots = f64::from(engine.slots);
    let is_silent = |load, activity: &GroupActivity| {
        SilenceThresholds::new(&engine, 1.0)
            .with_queue_wait(estimate.queue_wait(load))
            .is_silent(activity, engine.prefill_tokens_per_s, NOW)
    };

    let waiting = activity(0, 1, 1_500);
    let writing = activity(1, 0, 1_500);

    assert!(is_silent(slots - 1.0, &waiting));
    assert!(!is_silent(slots + 4.0, &waiting));
    assert!(
        is_silent(slots + 4.0, &writing),
        "an answer was begun there"
    );
}

#[test]
fn shares_move_from_published_to_observed() {
    let engine = profile(vec![model("large", 4, 0.5), model("small", 2, 0.5)]);
    let mut meter = DemandMeter::default();
    let before = meter.shares(&engine, 60_000.0);

    for _ in 0..5_000 {
        meter.record(&engine, "small", 1_000.0, 150.0, Duration::ZERO, NOW);
    }
    let after = meter.shares(&engine, 60_000.0);

    assert!((before[0] - 0.5).abs() < 1e-9);
    assert!(after[1] > 0.9, "{after:?}");
    assert!((after[0] + after[1] - 1.0).abs() < 1e-9);
}

/// Guards against a request with an impossible number of tokens that spoils the shares for good:
/// a NaN never decays.
#[test]
fn impossible_token_counts_are_not_recorded() {
    let engine = profile(vec![model("large", 4, 0.5), model("small", 2, 0.5)]);
    let mut meter = DemandMeter::default();

    for tokens in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert!(!meter.record(&engine, "small", tokens, 150.0, Duration::ZERO, NOW));
        assert!(!meter.record(&engine, "small", 1_000.0, tokens, Duration::ZERO, NOW));
    }

    assert_eq!(meter.requests(), 0);
    assert_eq!(meter.shares(&engine, 60_000.0), [0.5, 0.5]);
}
