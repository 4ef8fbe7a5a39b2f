//! Tests of granting, renewing and returning credits.

use std::time::Duration;

use geranium_core::group::{ServingGroup, Temperature};
use geranium_core::limit::{ColdBudgetHolder, ColdOutcome, ColdSettings, CreditRefusal};
use geranium_core::prelude::*;
use geranium_core::route::ColdCredits;

use crate::fixture::{BUDGET, HOSTS, START, cold_group, exchange, ready_holder, settings, user};

#[test]
fn new_group_gets_credits_for_its_free_budget_immediately() {
    let group = cold_group().group;
    let mut holder = ColdBudgetHolder::new(settings());
    holder.extend_authority(
        START - Duration::from_secs(10),
        START + Duration::from_secs(10),
    );
    let busy = ServingGroup {
        running: 1,
        ..cold_group()
    };
    let mut users: Vec<_> = (0..HOSTS).map(|i| user(i, 1)).collect();

    holder.update_groups(START, &[busy]);
    for user in &mut users {
        user.set_wanted(&group, 1, 10);
        exchange(START, user, &mut holder);
    }

    let credits: u32 = users.iter().map(|u| u.available(START, &group, 1)).sum();
    assert_eq!(credits, BUDGET - 1);
}

#[test]
fn load_measured_before_a_new_holder_is_ready_is_ignored() {
    let group = cold_group().group;
    let lagging = ColdSettings {
        report_lag: Duration::from_secs(1),
        ..settings()
    };
    let mut holder = ColdBudgetHolder::new(lagging);
    holder.update_groups(START, &[cold_group()]);
    holder.extend_authority(START, START + Duration::from_secs(100));
    let ready = START + lagging.holder_lifetime();
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 1);
    holder.observe_load(&group, ready, 0);
    exchange(ready, &mut user, &mut holder);
    let early = user.available(ready, &group, 1);
    let later = ready + lagging.report_lag;

    holder.observe_load(&group, later, 0);
    exchange(later, &mut user, &mut holder);

    assert_eq!(early, 0);
    assert_eq!(user.available(later, &group, 1), 1);
}

#[test]
fn credits_of_all_hosts_add_up_to_the_budget() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut users: Vec<_> = (0..HOSTS).map(|i| user(i, 1)).collect();

    for user in &mut users {
        user.set_wanted(&group, 1, 10);
        exchange(START, user, &mut holder);
    }

    let credits: u32 = users.iter().map(|u| u.available(START, &group, 1)).sum();
    assert_eq!(credits, BUDGET);
}

#[test]
fn budget_doubles_with_successes_and_falls_back_when_the_group_turns_cold() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    let mut now = START;
    for _ in 0..6 {
        user.set_wanted(&group, 1, BUDGET);
        exchange(now, &mut user, &mut holder);
        if user.try_start(now, &group, 1) {
            user.ended(&group, 1, ColdOutcome::Succeeded);
        }
        now = now + Duration::from_secs(1);
    }
    let grown = holder.budget(&group);

    let restarted = ServingGroup {
        generation: 2,
        ..cold_group()
    };
    holder.update_groups(now, &[restarted]);

    assert_eq!(grown, Some(BUDGET * 2));
    assert_eq!(holder.budget(&group), Some(BUDGET));
}

#[test]
fn warm_group_that_behaves_cold_needs_credits_until_it_has_warmed_up() {
    let group = cold_group().group;
    let warm = ServingGroup {
        temperature: Temperature::Warm,
        cold_concurrency: 1,
        warm_concurrency: 2,
        ..cold_group()
    };
    let mut holder = ColdBudgetHolder::new(settings());
    holder.extend_authority(START, START + Duration::from_secs(100));
    holder.update_groups(START, &[warm]);
    let mut user = user(0, 1);
    let mut now = START + Duration::from_secs(10);

    let news = user.mark_cold(&group, 1);
    user.set_wanted(&group, 1, 1);
    exchange(now, &mut user, &mut holder);
    let marked = user.marked_cold(&group, 1);
    let temperature = holder.temperature(&group);
    for _ in 0..6 {
        now = now + Duration::from_secs(1);
        holder.observe_load(&group, now, 0);
        exchange(now, &mut user, &mut holder);
        if user.try_start(now, &group, 1) {
            user.ended(&group, 1, ColdOutcome::Succeeded);
        }
    }

    let kinds: Vec<EventKind> = holder.take_events().iter().map(|e| e.kind).collect();
    assert_eq!(
        kinds,
        [
            EventKind::GroupCold,
            EventKind::ColdBudgetChanged,
            EventKind::GroupWarm
        ]
    );
    assert!(news && marked);
    assert_eq!(temperature, Some(Temperature::Cold));
    assert!(!user.marked_cold(&group, 1));
    assert_eq!(holder.temperature(&group), Some(Temperature::Warm));
}

#[test]
fn new_holder_renews_credits_in_use_but_grants_none_until_old_credits_expire() {
    let group = cold_group().group;
    let mut old = ready_holder(START);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 2);
    exchange(START, &mut user, &mut old);
    assert!(user.try_start(START, &group, 1));
    let mut new = ColdBudgetHolder::new(settings());
    let takeover = START + Duration::from_secs(1);
    new.extend_authority(takeover, START + Duration::from_secs(100));
    new.update_groups(takeover, &[cold_group()]);

    user.set_wanted(&group, 1, 10);
    exchange(takeover, &mut user, &mut new);
    let held_early = user.available(takeover, &group, 1);
    let mut now = takeover;
    for _ in 0..10 {
        now = now + Duration::from_millis(500);
        new.observe_load(&group, now, 1);
        exchange(now, &mut user, &mut new);
    }

    assert!(held_early <= 1);
    assert_eq!(user.expired(now), []);
    assert!(user.available(now, &group, 1) >= 1);
}

#[test]
fn host_cut_off_from_the_holder_starts_nothing_and_must_leave_the_cold_group() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 2);
    exchange(START, &mut user, &mut holder);
    assert!(user.try_start(START, &group, 1));
    let later = START + settings().lifetime;

    let started = user.try_start(later, &group, 1);
    let expired = user.expired(later);

    assert!(!started);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].in_use, 1);
}

#[test]
fn paused_holder_whose_authority_lapsed_grants_nothing() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 1);
    let woken = START + Duration::from_secs(2_000);
    let req = user.requests_due(woken).remove(0);

    let answer = holder.request(woken, &req);

    assert_eq!(answer, Err(CreditRefusal::NotHolder));
}

#[test]
fn lifetime_of_a_late_grant_counts_from_its_request() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 2);
    let req = user.requests_due(START).remove(0);
    let grant = holder.request(START, &req).expect("request is granted");
    let late = START + settings().lifetime - Duration::from_millis(1);

    user.granted(late, &grant);

    assert!(user.available(late, &group, 1) > 0);
    let after = late + Duration::from_millis(1);
    assert_eq!(user.available(after, &group, 1), 0);
    user.granted(after, &grant);
    assert_eq!(user.available(after, &group, 1), 0);
}

#[test]
fn answer_to_a_request_sent_before_the_credits_expired_is_ignored() {
    let group = cold_group().group;
    let mut old = ready_holder(START);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 1);
    exchange(START, &mut user, &mut old);
    let asked = START + settings().lifetime - Duration::from_millis(1);
    let req = user.requests_due(asked).remove(0);
    let mut new = ColdBudgetHolder::new(settings());
    new.extend_authority(asked, asked + Duration::from_secs(100));
    new.update_groups(asked, &[cold_group()]);
    let grant = new.request(asked, &req).expect("credit is renewed");
    let late = START + settings().lifetime + Duration::from_secs(1);

    user.granted(late, &grant);

    assert_eq!(user.available(late, &group, 1), 0);
}

#[test]
fn expired_credits_stay_reserved_until_a_later_load_report_frees_them() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let mut paused = user(0, 1);
    paused.set_wanted(&group, 1, 3);
    exchange(START, &mut paused, &mut holder);
    let mut other = user(1, 1);
    let later = START + Duration::from_secs(5);
    other.set_wanted(&group, 1, 3);
    exchange(later, &mut other, &mut holder);
    let before = other.available(later, &group, 1);
    holder.observe_load(&group, START, 0);
    let later = later + Duration::from_secs(1);
    exchange(later, &mut other, &mut holder);
    let with_old_report = other.available(later, &group, 1);

    holder.observe_load(&group, later, 0);
    let later = later + Duration::from_secs(1);
    exchange(later, &mut other, &mut holder);

    assert_eq!(before, 1);
    assert_eq!(with_old_report, 1);
    assert_eq!(other.available(later, &group, 1), 2);
}

#[test]
fn expired_credits_are_freed_after_the_run_limit_without_reports() {
    let group = cold_group().group;
    let limited = ColdSettings {
        run_limit: Duration::from_secs(60),
        ..settings()
    };
    let mut holder = ColdBudgetHolder::new(limited);
    holder.extend_authority(START, START + Duration::from_secs(1_000));
    holder.update_groups(START, &[cold_group()]);
    let mut user = user(0, 1);
    user.set_wanted(&group, 1, 3);
    let waited = START + Duration::from_secs(10);
    exchange(waited, &mut user, &mut holder);
    let without_report = user.available(waited, &group, 1);
    let after = START + Duration::from_secs(70);

    exchange(after, &mut user, &mut holder);

    assert_eq!(without_report, 0);
    assert!(user.available(after, &group, 1) > 0);
}

#[test]
fn shrunken_budget_counts_the_credits_that_users_still_hold() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let [mut greedy, mut modest, mut late] = [user(0, 1), user(1, 1), user(2, 1)];
    let mut now = START;
    for _ in 0..8 {
        modest.set_wanted(&group, 1, 1);
        exchange(now, &mut modest, &mut holder);
        greedy.set_wanted(&group, 1, 6);
        exchange(now, &mut greedy, &mut holder);
        if greedy.try_start(now, &group, 1) {
            greedy.ended(&group, 1, ColdOutcome::Succeeded);
        }
        now = now + Duration::from_secs(1);
    }
    let held = greedy.available(now, &group, 1);
    assert!(greedy.try_start(now, &group, 1));
    greedy.ended(&group, 1, ColdOutcome::Failed);

    let req = greedy.requests_due(now).remove(0);
    let unseen = holder
        .request(now, &req)
        .expect("a smaller grant is returned");
    now = now + Duration::from_secs(1);
    modest.set_wanted(&group, 1, 0);
    exchange(now, &mut modest, &mut holder);
    late.set_wanted(&group, 1, 6);
    exchange(now, &mut late, &mut holder);

    assert!(held > BUDGET);
    assert!(unseen.credits < BUDGET);
    assert_eq!(late.available(now, &group, 1), 0);
}

#[test]
fn host_without_demand_returns_its_credits() {
    let group = cold_group().group;
    let mut holder = ready_holder(START);
    let [mut first, mut second] = [user(0, 1), user(1, 1)];
    for step in 0..4 {
        first.set_wanted(&group, 1, BUDGET);
        let now = START + Duration::from_secs(step);
        exchange(now, &mut first, &mut holder);
    }
    let now = START + Duration::from_secs(4);
    second.set_wanted(&group, 1, 1);
    exchange(now, &mut second, &mut holder);
    let before = second.available(now, &group, 1);
    let now = START + Duration::from_secs(5);

    first.set_wanted(&group, 1, 0);
    exchange(now, &mut first, &mut holder);
    exchange(now, &mut second, &mut holder);

    assert_eq!(before, 0);
    assert_eq!(second.available(now, &group, 1), 1);
}
