//! What backend servers say of themselves, and what may follow a failed attempt.

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
    let wanted = DispatchCriteria {
        service: "app",
        model: None,
        tried: &[],
        cold_limit: None,
        max_running: f64::MAX,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let choice = dispatcher.choose(directory, &wanted, now, &mut rng)?;
    dispatcher.done(&choice.host.id);
    Ok(choice.host.id)
}

#[test]
fn a_life_that_leaves_takes_no_work_whatever_its_entry_says() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    assert!(directory.mark_leaving(&"h".into(), 1, NOW));
    assert!(!directory.mark_leaving(&"h".into(), 1, NOW));
    assert_eq!(choose(&mut dispatcher, &directory, NOW), Err(NoHost::None));

    // Its entry changes, goes and comes back.
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
fn a_life_is_known_to_leave_before_its_entry_is_read() {
    let mut directory = Directory::default();
    directory.mark_leaving(&"h".into(), 1, NOW);

    directory.put(server("h", "app", "a"));

    assert_eq!(
        directory.get("h").map(|h| h.state),
        Some(HostState::Draining)
    );
}

#[test]
fn a_pause_holds_for_its_time_and_for_one_life() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE, NOW);
    // A shorter pause in an answer that was overtaken does not end the longer one.
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
fn the_first_end_is_told_if_all_want_a_pause_and_others_take_work_if_not() {
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
fn a_request_that_met_pauses_everywhere_is_told_when_the_first_ends() {
    let directory = directory(&["h", "i"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE * 2, NOW);
    dispatcher.pause(&"i".into(), 1, PAUSE, NOW);
    let tried: Vec<HostId> = vec!["h".into(), "i".into()];
    let wanted = DispatchCriteria {
        service: "app",
        model: None,
        tried: &tried,
        cold_limit: None,
        max_running: f64::MAX,
    };

    let mut rng = SmallRng::seed_from_u64(1);
    let refused = dispatcher.choose(&directory, &wanted, NOW, &mut rng);

    assert_eq!(refused.err(), Some(NoHost::Paused(NOW + PAUSE)));
}

#[test]
fn a_pause_outlives_an_entry_that_lapses() {
    let mut directory = directory(&["h"]);
    let mut dispatcher = Dispatcher::new("e0".into(), "a".into());
    dispatcher.pause(&"h".into(), 1, PAUSE, NOW);

    directory.remove("h", NOW);
    dispatcher.prune_removed(&directory, NOW);
    directory.put(server("h", "app", "a"));

    assert!(choose(&mut dispatcher, &directory, NOW).is_err());
}

#[test]
fn the_time_of_a_pause_is_read_within_bounds() {
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
fn what_may_follow_depends_on_kind_attempts_time_and_budget() {
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
        assert!(!attempts.may_retry(Failure::NotRun, time, 0), "no retry");
        assert!(!attempts.may_retry(Failure::NotRun, Duration::from_millis(50), 1));
        attempts.note_failure(Failure::NotRun);
        assert!(!attempts.may_have_run());
        attempts.note_failure(Failure::MayHaveRun);
        assert!(attempts.may_have_run());
        assert_eq!(attempts.may_retry(Failure::MayHaveRun, time, 1), repeats);
        assert!(!attempts.may_retry(Failure::Deadline, time, 1));
        attempts.note_run();
        assert!(
            !attempts.may_retry(Failure::MayHaveRun, time, 1),
            "{kind:?}"
        );
    }
}
