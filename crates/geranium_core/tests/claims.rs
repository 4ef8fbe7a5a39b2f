//! Tests of the state machine of claimed calls.

mod support;

use std::time::Duration;

use geranium_core::once::*;
use geranium_core::prelude::*;
use support::*;

/// Submits a call and runs it up to its dispatch.
fn dispatched_call(store: &mut OneClaimStore, host: &str) -> ClaimCall {
    let (mut call, actions) = submit(request("{}"), holder(host, 1), START);
    let actions = apply_write(&mut call, store, START, &actions);
    assert_eq!(actions.dispatch, Some(1));
    call
}

/// Returns the reason and the state of other attempts in a `NotRun` answer.
fn not_run(actions: &StepActions) -> (NotRunReason, OtherAttempts) {
    match &actions.answer {
        Some(ClaimAnswer::NotRun(refusal)) => (refusal.reason, refusal.other_attempts),
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn resend_to_another_host_gets_the_kept_answer() {
    let mut store = OneClaimStore::default();
    let mut first = dispatched_call(&mut store, "entry-1");
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let actions = step(&mut first, START, upstream_result(1, done));
    assert_eq!(
        actions.answer,
        Some(ClaimAnswer::Done(service_answer("removed")))
    );
    apply_write(&mut first, &mut store, START, &actions);

    let (mut resend, actions) = submit(request("{}"), holder("entry-2", 1), START);
    let actions = apply_write(&mut resend, &mut store, START, &actions);

    let kept = StoredAnswer::of(&service_answer("removed"), 1_024);
    assert_eq!(actions.answer, Some(ClaimAnswer::Replayed(kept)));
    assert_eq!(actions.dispatch, None);
    assert!(first.is_ended() && resend.is_ended());
}

#[test]
fn large_body_is_kept_as_its_digest() {
    let kept = StoredAnswer::of(&service_answer("0123456789"), 9);

    let StoredBody::Digest { sha256, len } = kept.body else {
        panic!("expected a digest");
    };
    assert_eq!(len, 10);
    assert!(sha256.starts_with("84d89877f0d4041efb6bf91a16f0248f"));
}

#[test]
fn key_reused_for_another_request_is_refused() {
    let mut store = OneClaimStore::default();
    dispatched_call(&mut store, "entry-1");

    let (mut other, actions) = submit(request("{\"other\":1}"), holder("entry-2", 1), START);
    let actions = apply_write(&mut other, &mut store, START, &actions);

    assert_eq!(actions.answer, Some(ClaimAnswer::KeyReused));
    assert_eq!(actions.dispatch, None);
}

#[test]
fn ambiguous_claim_that_took_effect_is_read_back_and_dispatched_once() {
    let mut store = OneClaimStore::default();
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    let (_, claim, expected) = actions.write.as_ref().expect("claim write");
    store.write(claim, *expected);

    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::Ambiguous),
    );
    assert_eq!(actions.dispatch, None);
    let actions = step(&mut call, START, read_result(&actions, store.read()));

    assert_eq!(actions.dispatch, Some(1));
}

#[test]
fn ambiguous_claim_that_another_host_won_is_never_dispatched() {
    let mut store = OneClaimStore::default();
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    dispatched_call(&mut store, "entry-2");

    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::Ambiguous),
    );
    let actions = step(&mut call, START, read_result(&actions, store.read()));

    assert_eq!(actions.dispatch, None);
    assert_eq!(actions.holder_check, Some(holder("entry-2", 1)));
}

#[test]
fn claim_unconfirmed_at_the_deadline_is_withdrawn_and_open_to_a_resend() {
    let mut store = OneClaimStore::default();
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    let (_, claim, expected) = actions.write.clone().expect("claim write");
    let late = START + Duration::from_secs(10);
    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::Ambiguous),
    );

    // The claim is absent, because its write is still in flight.
    let actions = step(&mut call, late, read_result(&actions, store.read()));
    let refusal = not_run(&actions);
    apply_write(&mut call, &mut store, late, &actions);
    let delayed_write = store.write(&claim, expected);

    assert_eq!(
        refusal,
        (NotRunReason::DeadlinePassed, OtherAttempts::NotChecked)
    );
    assert!(matches!(delayed_write, WriteOutcome::Conflict(_)));
    assert!(call.is_ended());
    let mut again = request("{}");
    again.deadline = late + Duration::from_secs(10);
    let (mut resend, actions) = submit(again, holder("entry-2", 1), late);
    let actions = apply_write(&mut resend, &mut store, late, &actions);
    let actions = apply_write(&mut resend, &mut store, late, &actions);
    assert_eq!(actions.dispatch, Some(2));
}

#[test]
fn holder_that_was_paused_past_the_dispatch_window_does_not_dispatch() {
    let mut store = OneClaimStore::default();
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    let resumed = START + Duration::from_secs(6);

    let actions = apply_write(&mut call, &mut store, resumed, &actions);

    assert_eq!(actions.dispatch, None);
    assert_eq!(not_run(&actions).0, NotRunReason::StoreUnavailable);
}

#[test]
fn holder_paused_past_the_retention_reports_other_attempts_as_not_checked() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched_call(&mut store, "entry-1");
    let resumed = START + ClaimConfig::default().retention;

    let actions = step(
        &mut call,
        resumed,
        upstream_result(1, UpstreamOutcome::NotSent),
    );

    assert_eq!(
        not_run(&actions),
        (NotRunReason::ServiceUnreachable, OtherAttempts::NotChecked)
    );
}

#[test]
fn unreachable_store_refuses_the_call_at_once_with_retry_after() {
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);

    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::NoEffect),
    );

    let answer = actions.answer.expect("an answer");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (503, Some("not_run"))
    );
    assert_eq!(answer.retry_after(), Some(Duration::from_secs(2)));
    assert!(call.is_ended());
}

#[test]
fn failed_write_after_an_ambiguous_one_does_not_end_the_call() {
    let store = OneClaimStore::default();
    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::Ambiguous),
    );
    let actions = step(&mut call, START, read_result(&actions, store.read()));

    let actions = step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::NoEffect),
    );

    assert_eq!(actions.answer, None);
    assert!(!call.is_ended());
    assert!(call.next_wake().is_some());
}

#[test]
fn resend_waits_for_a_live_holder() {
    let mut store = OneClaimStore::default();
    let mut first = dispatched_call(&mut store, "entry-1");
    let (mut resend, actions) = submit(request("{}"), holder("entry-2", 1), START);
    let actions = apply_write(&mut resend, &mut store, START, &actions);
    assert_eq!((actions.answer, actions.dispatch), (None, None));
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let actions = step(&mut first, START, upstream_result(1, done));
    apply_write(&mut first, &mut store, START, &actions);

    let later = resend.next_wake().expect("a poll");
    let actions = step(&mut resend, later, ClaimInput::Tick);
    let actions = step(&mut resend, later, read_result(&actions, store.read()));

    assert!(matches!(actions.answer, Some(ClaimAnswer::Replayed(_))));
}

#[test]
fn waiting_resend_polls_with_backoff() {
    let mut store = OneClaimStore::default();
    dispatched_call(&mut store, "entry-1");
    let (mut resend, actions) = submit(request("{}"), holder("entry-2", 1), START);
    apply_write(&mut resend, &mut store, START, &actions);

    let mut reads = 0;
    while let Some(wake) = resend.next_wake() {
        let actions = step(&mut resend, wake, ClaimInput::Tick);
        if actions.read.is_some() {
            reads += 1;
            step(&mut resend, wake, read_result(&actions, store.read()));
        }
    }

    assert!(resend.is_answered());
    assert!(reads <= 16, "{reads} reads in 10 s");
}

#[test]
fn resend_with_a_short_deadline_gets_in_progress_at_once() {
    let mut store = OneClaimStore::default();
    dispatched_call(&mut store, "entry-1");
    let mut short = request("{}");
    short.deadline = START + Duration::from_millis(50);

    let (mut resend, actions) = submit(short, holder("entry-2", 1), START);
    let actions = apply_write(&mut resend, &mut store, START, &actions);

    let answer = actions.answer.expect("an answer at once");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (409, Some("in_progress"))
    );
    assert!(answer.retry_after().is_some());
}

#[test]
fn claim_of_a_holder_that_is_gone_is_unknown_and_never_taken_over() {
    let mut store = OneClaimStore::default();
    dispatched_call(&mut store, "entry-1");
    let (mut resend, actions) = submit(request("{}"), holder("entry-2", 1), START);
    apply_write(&mut resend, &mut store, START, &actions);
    let gone = ClaimInput::Holder {
        holder: holder("entry-1", 1),
        status: HolderStatus::Gone,
    };

    let actions = step(&mut resend, START, gone);
    let actions = step(&mut resend, START, read_result(&actions, store.read()));

    let answer = actions.answer.expect("an answer");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (504, Some("outcome_unknown"))
    );
    assert_eq!(actions.dispatch, None);
    assert!(resend.is_ended());
}

#[test]
fn unsent_call_is_retried_under_a_new_attempt() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched_call(&mut store, "entry-1");

    let actions = step(
        &mut call,
        START,
        upstream_result(1, UpstreamOutcome::NotSent),
    );
    let actions = apply_write(&mut call, &mut store, START, &actions);
    assert_eq!(actions.dispatch, Some(2));
    let actions = step(
        &mut call,
        START,
        upstream_result(2, UpstreamOutcome::NotSent),
    );

    assert_eq!(
        not_run(&actions),
        (NotRunReason::ServiceUnreachable, OtherAttempts::NoneRan)
    );
    apply_write(&mut call, &mut store, START, &actions);
    let stored = store
        .present
        .and_then(|stored| stored.claim)
        .expect("a claim");
    assert_eq!((stored.attempt, stored.state), (2, ClaimState::NotRun));
}

#[test]
fn late_answer_is_recorded_after_the_caller_got_outcome_unknown() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched_call(&mut store, "entry-1");
    let late = START + Duration::from_secs(11);

    let actions = step(&mut call, late, ClaimInput::Tick);
    assert!(matches!(
        actions.answer,
        Some(ClaimAnswer::OutcomeUnknown(_))
    ));
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let actions = step(&mut call, late, upstream_result(1, done));

    assert_eq!(actions.answer, None);
    let actions = apply_write(&mut call, &mut store, late, &actions);
    assert_eq!(actions.events, [EventKind::ClaimDone]);
}

#[test]
fn record_of_an_answer_survives_an_outage_and_a_lost_reply() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched_call(&mut store, "entry-1");
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let actions = step(&mut call, START, upstream_result(1, done));
    step(
        &mut call,
        START,
        write_result(&actions, WriteOutcome::NoEffect),
    );
    let retry = call.next_wake().expect("a retry");
    let actions = step(&mut call, retry, ClaimInput::Tick);
    let (_, claim, expected) = actions.write.clone().expect("record write");
    store.write(&claim, expected);
    step(
        &mut call,
        retry,
        write_result(&actions, WriteOutcome::Ambiguous),
    );

    let retry = call.next_wake().expect("a retry");
    let actions = step(&mut call, retry, ClaimInput::Tick);
    let actions = apply_write(&mut call, &mut store, retry, &actions);

    assert_eq!(actions.events, [EventKind::ClaimDone]);
    assert!(call.is_ended());
}

#[test]
fn answer_is_recorded_although_the_store_has_lost_the_claim() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched_call(&mut store, "entry-1");
    store.present = None;
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let actions = step(&mut call, START, upstream_result(1, done));

    let actions = apply_write(&mut call, &mut store, START, &actions);
    apply_write(&mut call, &mut store, START, &actions);

    let (mut resend, actions) = submit(request("{}"), holder("entry-2", 1), START);
    let actions = apply_write(&mut resend, &mut store, START, &actions);
    assert!(matches!(actions.answer, Some(ClaimAnswer::Replayed(_))));
}

#[test]
fn key_older_than_the_retention_is_refused() {
    let mut old = request("{}");
    old.key_issued_at = Some(START - Duration::from_secs(24 * 60 * 60));

    let (call, actions) = submit(old, holder("entry-1", 1), START);

    assert_eq!(not_run(&actions).0, NotRunReason::KeyExpired);
    assert_eq!(actions.answer.map(|answer| answer.status()), Some(410));
    assert!(call.is_ended());
}

#[test]
fn exhausted_budget_refuses_at_once_with_retry_after() {
    let mut budget = ClaimBudget::new(100.0, 4.0);
    assert_eq!(budget.admit(START), Ok(()));
    assert_eq!(budget.admit(START), Ok(()));

    let refused = budget.admit(START);
    let later = budget.admit(START + Duration::from_millis(20));

    assert_eq!(refused, Err(Duration::from_millis(20)));
    assert_eq!(later, Ok(()));
}

#[test]
fn claim_of_another_schema_version_gives_outcome_unknown() {
    let unsupported = StoredClaim::read("claim", b"{\"version\":9}", StoreRevision(3));
    let mut store = OneClaimStore {
        present: Some(unsupported),
        revision: 3,
    };

    let (mut call, actions) = submit(request("{}"), holder("entry-1", 1), START);
    let actions = apply_write(&mut call, &mut store, START, &actions);

    assert!(matches!(
        actions.answer,
        Some(ClaimAnswer::OutcomeUnknown(_))
    ));
}

#[test]
fn sweep_deletes_only_expired_claims() {
    let mut store = OneClaimStore::default();
    dispatched_call(&mut store, "entry-1");
    let stored = store.present.expect("a claim");
    let claims = [("a", &stored)];
    let expiry = START + ClaimConfig::default().retention;

    let early = expired_claims(expiry - Duration::from_micros(1), claims);
    let due = expired_claims(expiry, claims);

    assert_eq!(early, []);
    assert_eq!(due.len(), 1);
    assert_eq!(due[0].expected, stored.revision);
}

#[test]
fn retention_has_to_cover_every_dispatch() {
    let short = ClaimConfig {
        retention: Duration::from_secs(60),
        ..ClaimConfig::default()
    };

    assert_eq!(
        short.validate(),
        Err(ClaimError::RetentionTooShort(60, 725))
    );
    assert_eq!(ClaimConfig::default().validate(), Ok(()));
}
