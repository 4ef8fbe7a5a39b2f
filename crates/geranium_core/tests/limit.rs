//! Admission, retry budgets and crashing requests.

use std::time::Duration;

use geranium_core::limit::{
    AccountLimit, Admission, AdmissionOutcome, AdmissionRefusal, AdmissionRequest,
    AdmissionSettings, CrashId, CrashRegistry, CrashSettings, CrashVerdict, InFlight,
    RequestFingerprint, RetryBudget, RetryBudgetSettings, Ticket, TrialHolder, TrialRefusal,
    TrialRequest,
};
use geranium_core::prelude::*;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn limit(account: &str, weight: u32) -> AccountLimit {
    AccountLimit {
        account: AccountId::new(account),
        weight,
        max_concurrent: 100,
    }
}

fn admission(capacity: u32, limits: &[AccountLimit]) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default(), 7);
    admission.set_accounts(START, limits);
    admission.set_capacity(START, capacity);
    admission
}

fn submit(admission: &mut Admission, account: &str, priority: u8) -> AdmissionOutcome {
    submit_until(admission, account, priority, Duration::from_secs(1_000))
}

fn submit_until(
    admission: &mut Admission,
    account: &str,
    priority: u8,
    time_left: Duration,
) -> AdmissionOutcome {
    let req = AdmissionRequest {
        account: &AccountId::new(account),
        priority,
        deadline: START + time_left,
    };
    admission.submit(START, &req)
}

fn ticket(outcome: &AdmissionOutcome) -> Ticket {
    match outcome {
        AdmissionOutcome::Admitted(ticket) | AdmissionOutcome::Queued(ticket) => *ticket,
        AdmissionOutcome::Refused(refusal) => panic!("refused: {refusal}"),
    }
}

fn fingerprint(content: &str) -> RequestFingerprint {
    RequestFingerprint::of(&AccountId::new("a"), &ModelId::new("m"), content.as_bytes())
}

fn crash(group: &str) -> CrashId {
    CrashId {
        group: GroupId::new(group),
        generation: 1,
    }
}

fn in_flight(content: &str, on_trial: bool) -> InFlight {
    InFlight {
        fingerprint: fingerprint(content),
        on_trial,
    }
}

#[test]
fn idle_share_is_borrowed_and_given_back() {
    let mut admission = admission(4, &[limit("a", 1), limit("b", 1)]);
    let borrowed: Vec<_> = (0..4).map(|_| submit(&mut admission, "a", 5)).collect();
    let queued = [
        submit(&mut admission, "a", 5),
        submit(&mut admission, "b", 5),
    ];

    let change = admission.finished(START, ticket(&borrowed[0]));

    assert!(
        borrowed
            .iter()
            .all(|o| matches!(o, AdmissionOutcome::Admitted(_)))
    );
    assert_eq!(change.started.len(), 1);
    assert_eq!(change.started[0].ticket, ticket(&queued[1]));
}

#[test]
fn higher_priority_goes_first_and_equals_keep_their_order() {
    let mut admission = admission(1, &[limit("a", 1)]);
    let running = submit(&mut admission, "a", 5);
    let low = submit(&mut admission, "a", 1);
    let first = submit(&mut admission, "a", 5);
    let second = submit(&mut admission, "a", 5);
    let mut order = Vec::new();
    let mut last = ticket(&running);

    for _ in 0..3 {
        let change = admission.finished(START, last);
        last = change.started[0].ticket;
        order.push(last);
    }

    assert_eq!(order, [ticket(&first), ticket(&second), ticket(&low)]);
}

#[test]
fn wait_beyond_the_deadline_is_refused_at_once_with_a_time_to_come_back() {
    let mut admission = admission(1, &[limit("a", 1)]);
    submit(&mut admission, "a", 5);

    let outcome = submit_until(&mut admission, "a", 5, Duration::from_millis(500));

    let AdmissionOutcome::Refused(refusal) = outcome else {
        panic!("not refused: {outcome:?}");
    };
    assert!(matches!(refusal, AdmissionRefusal::Overloaded(..)));
    let retry_after = refusal.retry_after().expect("a time to come back");
    assert!(retry_after >= Duration::from_millis(1_500));
    assert!(retry_after <= Duration::from_millis(2_250));
}

#[test]
fn queue_that_stops_draining_is_refused_before_its_deadlines() {
    let mut admission = admission(1, &[limit("a", 1)]);
    submit(&mut admission, "a", 5);
    let queued = submit_until(&mut admission, "a", 5, Duration::from_secs(10));

    let early = admission.tick(START + Duration::from_secs(1));
    let late = admission.tick(START + Duration::from_secs(9));

    assert_eq!(early.refused, []);
    assert_eq!(late.refused.len(), 1);
    assert_eq!(late.refused[0].ticket, ticket(&queued));
    assert!(late.refused[0].refusal.retry_after().is_some());
}

#[test]
fn retries_stay_a_fraction_of_requests_when_everything_fails() {
    let settings = RetryBudgetSettings {
        fraction: 0.1,
        floor: 0,
    };
    let mut budget = RetryBudget::new(settings);
    let mut retries = 0;

    for i in 0..1_000 {
        let now = START + Duration::from_millis(i);
        budget.request(now);
        retries += usize::from(budget.try_retry(now));
    }

    assert_eq!(retries, 100);
}

#[test]
fn request_is_refused_after_its_second_crash_on_any_host() {
    let mut here = CrashRegistry::new(CrashSettings::default());
    let mut peer = CrashRegistry::new(CrashSettings::default());
    let told = here.group_crashed(START, &crash("g1"), &[in_flight("x", false)]);
    peer.import(START, &told);
    let after_first = peer.verdict(START, &fingerprint("x"));

    let told = peer.group_crashed(START, &crash("g2"), &[in_flight("x", true)]);
    here.import(START, &told);
    here.import(START, &told);

    assert_eq!(after_first, CrashVerdict::Suspect);
    assert_eq!(
        here.verdict(START, &fingerprint("x")),
        CrashVerdict::Refused
    );
    assert_eq!(
        peer.verdict(START, &fingerprint("x")),
        CrashVerdict::Refused
    );
}

#[test]
fn neighbours_of_a_suspect_on_trial_are_not_blamed_on_any_host() {
    let mut here = CrashRegistry::new(CrashSettings::default());
    let mut peer = CrashRegistry::new(CrashSettings::default());
    let both = [in_flight("x", false), in_flight("n", false)];
    let told = here.group_crashed(START, &crash("g1"), &both);
    peer.import(START, &told);
    let peer_told = peer.group_crashed(START, &crash("g2"), &[in_flight("n", false)]);

    let told = here.group_crashed(START, &crash("g2"), &[in_flight("x", true)]);
    here.import(START, &peer_told);
    peer.import(START, &told);

    for registry in [&here, &peer] {
        assert_eq!(
            registry.verdict(START, &fingerprint("x")),
            CrashVerdict::Refused
        );
        assert_eq!(
            registry.verdict(START, &fingerprint("n")),
            CrashVerdict::Suspect
        );
    }
}

#[test]
fn group_tries_one_suspect_at_a_time() {
    let mut holder = TrialHolder::new(Duration::from_secs(10), Duration::from_millis(100));
    holder.extend_authority(START, START + Duration::from_secs(100));
    let req = |content: &str, asked_at| TrialRequest {
        user: HostId::new("e1"),
        incarnation: Incarnation(1),
        group: GroupId::new("g1"),
        fingerprint: fingerprint(content),
        asked_at,
    };
    let early = holder.request(START, &req("x", START));
    let ready = START + Duration::from_secs(11);

    let first = holder.request(ready, &req("x", ready));
    let second = holder.request(ready, &req("n", ready));
    holder.release(&req("x", ready));
    let third = holder.request(ready, &req("n", ready));

    assert!(matches!(early, Err(TrialRefusal::Waiting(_))));
    assert!(first.is_ok());
    assert!(matches!(second, Err(TrialRefusal::Busy(..))));
    assert!(third.is_ok());
}
