//! Tests of notices from backend servers and of retries after failed attempts.

mod fixture;

use std::time::Duration;

use fixture::server;
use geranium_core::time::Timestamp;
use geranium_fleet::attempts::{Attempts, Failure};
use geranium_fleet::notice::{DEFAULT_PAUSE, MAX_PAUSE, parse_pause};
use geranium_fleet::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const NOW: Timestamp = Timestamp::from_millis(100_000);
const PAUSE: Duration = Duration::from_secs(3);

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.put(server(id, "app", "a"));
    }
    directory
}

fn choose(
    dispatcher: &mut Dispatcher,
    directory: &Directory,
    now: Timestamp,
) -> Result<HostId, NoHost> {
    let criteria = DispatchCriteria {
        service: "app",
        model: None,
        tried: &[],
        cold_limit: None,
        entry_hosts: 1,
        max_running: f64::MAX,
        request_time: None,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = dispatcher.choose(directory, &criteria, now, &mut rng)?;
    dispatcher.finish_request(&choice.host.id);
    Ok(choice.host.id)
}

#[test]
fn a_leaving_incarnation_gets_no_work_whatever_its_entry_says() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    assert!(directory.mark_leaving(&"h".into(), 1, NOW));
    assert!(!directory.mark_leaving(&"h".into(), 1, NOW));
    assert_eq!(choose(&mut dispatcher, &directory, NOW), Err(NoHost::None));

    // The entry changes, is removed and comes back.
    directory.put(server("h", "app", "a"));
    assert_eq!(choose(&mut dispatcher, &directory, NOW), Err(NoHost::None));
    directory.remove("h", NOW);
    directory.expire(NOW);
    directory.put(server("h", "app", "a"));
    assert_eq!(choose(&mut dispatcher, &directory, NOW), Err(NoHost::None));

    let mut next_life = server("h", "app", "a");
    next_life.incarnation = 2;
    directory.put(next_life);
    assert_eq!(
        choose(&mut dispatcher, &directory, NOW),
        Ok(HostId::from("h"))
    );
}

#[test]
fn a_leaving_notice_applies_before_the_entry_is_read() {
    let mut directory = Directory::default();
    directory.mark_leaving(&"h".into(), 1, NOW);

    directory.put(server("h", "app", "a"));

    assert_eq!(
        directory.get("h").map(|h| h.state),
        Some(HostState::Draining)
    );
}

#[test]
fn a_pause_lasts_its_duration_and_applies_to_one_incarnation() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE, NOW);
    // A shorter pause from an answer that arrives out of order does not end the longer one.
    dispatcher.pause(&"h".into(), 1, Duration::from_millis(1), NOW);

    let at_end = NOW + PAUSE;
    let before = Timestamp::from_millis(102_999);
    let refused = Err(NoHost::Paused(at_end));
    assert_eq!(choose(&mut dispatcher, &directory, before), refused);
    assert!(choose(&mut dispatcher, &directory, at_end).is_ok());

    let mut next_life = server("h", "app", "a");
    next_life.incarnation = 2;
    directory.put(next_life);
    assert!(choose(&mut dispatcher, &directory, before).is_ok());
}

#[test]
fn the_earliest_pause_end_is_reported_only_if_all_servers_are_paused() {
    let directory = directory(&["h", "i"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE * 2, NOW);
    assert_eq!(
        choose(&mut dispatcher, &directory, NOW),
        Ok(HostId::from("i"))
    );

    dispatcher.pause(&"i".into(), 1, PAUSE, NOW);

    let refused = Err(NoHost::Paused(NOW + PAUSE));
    assert_eq!(choose(&mut dispatcher, &directory, NOW), refused);
}

#[test]
fn a_request_that_tried_only_paused_servers_gets_the_earliest_pause_end() {
    let directory = directory(&["h", "i"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE * 2, NOW);
    dispatcher.pause(&"i".into(), 1, PAUSE, NOW);
    let tried: Vec<HostId> = vec!["h".into(), "i".into()];
    let criteria = DispatchCriteria {
        service: "app",
        model: None,
        tried: &tried,
        cold_limit: None,
        entry_hosts: 1,
        max_running: f64::MAX,
        request_time: None,
    };

    let mut rng = SmallRng::seed_from_u64(1);
    let refused = dispatcher.choose(&directory, &criteria, NOW, &mut rng);

    assert_eq!(refused.err(), Some(NoHost::Paused(NOW + PAUSE)));
}

#[test]
fn a_pause_survives_an_expired_entry() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE, NOW);

    directory.remove("h", NOW);
    dispatcher.prune_removed(&directory, NOW);
    directory.put(server("h", "app", "a"));

    assert!(choose(&mut dispatcher, &directory, NOW).is_err());
}

#[test]
fn pause_values_are_parsed_and_clamped() {
    let cases = [
        ("2", Duration::from_secs(2)),
        (" 0.25 ", Duration::from_millis(250)),
        ("0", Duration::ZERO),
        ("99999999999999999999", MAX_PAUSE),
        ("inf", MAX_PAUSE),
        ("-3", DEFAULT_PAUSE),
        ("NaN", DEFAULT_PAUSE),
        ("", DEFAULT_PAUSE),
        ("Fri, 04 Dec 2026 10:00:00 GMT", DEFAULT_PAUSE),
    ];
    for (text, expected) in cases {
        assert_eq!(parse_pause(text), expected, "{text:?}");
    }
}

#[test]
fn retries_depend_on_kind_attempts_time_and_budget() {
    let time = Duration::from_secs(1);
    let kinds = [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
        (RouteKind::Stream { resumable: true }, true),
        (RouteKind::Stream { resumable: false }, false),
    ];
    for (kind, repeats) in kinds {
        let mut attempts = Attempts::new(kind, 2);
        assert!(attempts.may_retry(Failure::NotRun, time, 1));
        assert!(
            !attempts.may_retry(Failure::NotRun, time, 0),
            "no retry left"
        );
        assert!(!attempts.may_retry(Failure::NotRun, Duration::from_millis(50), 1));
        attempts.record_failure(Failure::NotRun);
        assert!(!attempts.may_have_run());
        attempts.record_failure(Failure::MayHaveRun);
        assert!(attempts.may_have_run());
        assert_eq!(attempts.may_retry(Failure::MayHaveRun, time, 1), repeats);
        assert!(!attempts.may_retry(Failure::Deadline, time, 1));
        attempts.record_run();
        assert!(
            !attempts.may_retry(Failure::MayHaveRun, time, 1),
            "{kind:?}"
        );
    }
}
