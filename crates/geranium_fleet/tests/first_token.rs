//! Tests of the predicted time to the first token.

mod engine;

use std::time::Duration;

use engine::{model, profile};
use geranium_fleet::prelude::*;

const PROMPT_TOKENS: f64 = 700.0;

fn wait(profile: &EngineProfile, running: f64) -> Duration {
    FirstTokenEstimate::new(profile, &profile.models[0]).wait(running, PROMPT_TOKENS)
}

/// Guards against a bound that rises with the load: a fuller group never answers sooner.
#[test]
fn the_wait_rises_with_the_number_of_requests() {
    let profile = profile(vec![model("m", 4, 1.0)]);

    let waits: Vec<Duration> = (0..=profile.slots)
        .map(|n| wait(&profile, f64::from(n)))
        .collect();

    assert!(waits.is_sorted());
}

/// Guards against a bound that admits a long prompt where its first token is already too late,
/// or that refuses requests with time to spare.
#[test]
fn a_long_prompt_lowers_the_bound_and_a_generous_objective_raises_it() {
    let profile = profile(vec![model("m", 4, 1.0)]);
    let estimate = FirstTokenEstimate::new(&profile, &profile.models[0]);
    let limit = wait(&profile, 4.0);

    let usual = estimate.max_running(PROMPT_TOKENS, limit);
    let long = estimate.max_running(PROMPT_TOKENS * 4.0, limit);
    let generous = estimate.max_running(PROMPT_TOKENS, limit * 100);

    assert_eq!(usual, 4.0);
    assert!(long < usual);
    assert_eq!(generous, f64::from(profile.slots));
}

/// Guards against a bound below an idle group's wait that would refuse every request.
#[test]
fn no_number_of_requests_meets_an_objective_below_the_wait_of_an_idle_group() {
    let profile = profile(vec![model("m", 4, 1.0)]);
    let estimate = FirstTokenEstimate::new(&profile, &profile.models[0]);

    assert_eq!(estimate.max_running(PROMPT_TOKENS, Duration::ZERO), 0.0);
}
