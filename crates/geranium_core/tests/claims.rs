//! Claims for calls that must not repeat.

mod support;

use std::time::Duration;

use geranium_core::once::*;
use geranium_core::prelude::*;
use support::*;

/// Runs a call up to its dispatch.
fn dispatched(store: &mut OneClaimStore, host: &str) -> ClaimCall {
    let (mut call, asked) = submit(request("{}"), holder(host, 1), START);
    let asked = carry_out(&mut call, store, START, &asked);
    assert_eq!(asked.dispatch, Some(1));
    call
}

/// Returns why an answer says that the attempt was not run.
fn not_run(asked: &Asked) -> (NotRunReason, OtherAttempts) {
    match &asked.answer {
        Some(ClaimAnswer::NotRun(refusal)) => (refusal.reason, refusal.other_attempts),
        other => panic!("expected a refusal, found {other:?}"),
    }
}

#[test]
fn resend_to_another_host_gets_the_kept_answer() {
    let mut store = OneClaimStore::default();
    let mut first = dispatched(&mut store, "entry-1");
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let asked = step(&mut first, START, upstream(1, done));
    assert_eq!(
        asked.answer,
        Some(ClaimAnswer::Done(service_answer("removed")))
    );
    carry_out(&mut first, &mut store, START, &asked);

    let (mut resend, asked) = submit(request("{}"), holder("entry-2", 1), START);
    let asked = carry_out(&mut resend, &mut store, START, &asked);

    let kept = StoredAnswer::of(&service_answer("removed"), 1_024);
    assert_eq!(asked.answer, Some(ClaimAnswer::Replayed(kept)));
    assert_eq!(asked.dispatch, None);
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
fn another_request_under_the_same_key_is_refused_by_type() {
    let mut store = OneClaimStore::default();
    dispatched(&mut store, "entry-1");

    let (mut other, asked) = submit(request("{\"other\":1}"), holder("entry-2", 1), START);
    let asked = carry_out(&mut other, &mut store, START, &asked);

    assert_eq!(asked.answer, Some(ClaimAnswer::KeyReused));
    assert_eq!(asked.dispatch, None);
}

#[test]
fn ambiguous_claim_that_took_effect_is_read_back_and_dispatched_once() {
    let mut store = OneClaimStore::default();
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    let (_, claim, expected) = asked.write.as_ref().expect("claim write");
    store.write(claim, *expected);

    let asked = step(&mut call, START, written(&asked, WriteOutcome::Ambiguous));
    assert_eq!(asked.dispatch, None);
    let asked = step(&mut call, START, read_back(&asked, store.read()));

    assert_eq!(asked.dispatch, Some(1));
}

#[test]
fn ambiguous_claim_that_another_host_won_is_never_dispatched() {
    let mut store = OneClaimStore::default();
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    dispatched(&mut store, "entry-2");

    let asked = step(&mut call, START, written(&asked, WriteOutcome::Ambiguous));
    let asked = step(&mut call, START, read_back(&asked, store.read()));

    assert_eq!(asked.dispatch, None);
    assert_eq!(asked.check, Some(holder("entry-2", 1)));
}

#[test]
fn claim_known_only_after_the_deadline_is_withdrawn_and_free_for_a_resend() {
    let mut store = OneClaimStore::default();
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    let (_, claim, expected) = asked.write.clone().expect("claim write");
    let late = START + Duration::from_secs(10);
    let asked = step(&mut call, START, written(&asked, WriteOutcome::Ambiguous));

    // The read finds nothing, because the write is still on its way.
    let asked = step(&mut call, late, read_back(&asked, store.read()));
    let refusal = not_run(&asked);
    carry_out(&mut call, &mut store, late, &asked);
    let stray = store.write(&claim, expected);

    assert_eq!(
        refusal,
        (NotRunReason::DeadlinePassed, OtherAttempts::NotChecked)
    );
    assert!(matches!(stray, WriteOutcome::Conflict(_)));
    assert!(call.is_ended());
    let mut again = request("{}");
    again.deadline = late + Duration::from_secs(10);
    let (mut resend, asked) = submit(again, holder("entry-2", 1), late);
    let asked = carry_out(&mut resend, &mut store, late, &asked);
    let asked = carry_out(&mut resend, &mut store, late, &asked);
    assert_eq!(asked.dispatch, Some(2));
}

#[test]
fn holder_that_was_paused_past_the_dispatch_window_does_not_dispatch() {
    let mut store = OneClaimStore::default();
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    let resumed = START + Duration::from_secs(6);

    let asked = carry_out(&mut call, &mut store, resumed, &asked);

    assert_eq!(asked.dispatch, None);
    assert_eq!(not_run(&asked).0, NotRunReason::StoreUnavailable);
}

#[test]
fn holder_paused_past_the_retention_does_not_vouch_for_other_attempts() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched(&mut store, "entry-1");
    let resumed = START + ClaimConfig::default().retention;

    let asked = step(&mut call, resumed, upstream(1, UpstreamOutcome::NotSent));

    assert_eq!(
        not_run(&asked),
        (NotRunReason::ServiceUnreachable, OtherAttempts::NotChecked)
    );
}

#[test]
fn unreachable_store_is_refused_at_once_with_a_time_to_come_back() {
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);

    let asked = step(&mut call, START, written(&asked, WriteOutcome::NoEffect));

    let answer = asked.answer.expect("an answer");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (503, Some("not_run"))
    );
    assert_eq!(answer.retry_after(), Some(Duration::from_secs(2)));
    assert!(call.is_ended());
}

#[test]
fn refused_write_after_an_ambiguous_one_is_not_taken_for_the_end() {
    let store = OneClaimStore::default();
    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    let asked = step(&mut call, START, written(&asked, WriteOutcome::Ambiguous));
    let asked = step(&mut call, START, read_back(&asked, store.read()));

    let asked = step(&mut call, START, written(&asked, WriteOutcome::NoEffect));

    assert_eq!(asked.answer, None);
    assert!(!call.is_ended());
    assert!(call.next_wake().is_some());
}

#[test]
fn resend_waits_for_a_live_holder() {
    let mut store = OneClaimStore::default();
    let mut first = dispatched(&mut store, "entry-1");
    let (mut resend, asked) = submit(request("{}"), holder("entry-2", 1), START);
    let asked = carry_out(&mut resend, &mut store, START, &asked);
    assert_eq!((asked.answer, asked.dispatch), (None, None));
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let asked = step(&mut first, START, upstream(1, done));
    carry_out(&mut first, &mut store, START, &asked);

    let later = resend.next_wake().expect("a poll");
    let asked = step(&mut resend, later, ClaimInput::Tick);
    let asked = step(&mut resend, later, read_back(&asked, store.read()));

    assert!(matches!(asked.answer, Some(ClaimAnswer::Replayed(_))));
}

#[test]
fn waiting_resend_reads_less_and_less_often() {
    let mut store = OneClaimStore::default();
    dispatched(&mut store, "entry-1");
    let (mut resend, asked) = submit(request("{}"), holder("entry-2", 1), START);
    carry_out(&mut resend, &mut store, START, &asked);

    let mut reads = 0;
    while let Some(wake) = resend.next_wake() {
        let asked = step(&mut resend, wake, ClaimInput::Tick);
        if asked.read.is_some() {
            reads += 1;
            step(&mut resend, wake, read_back(&asked, store.read()));
        }
    }

    assert!(resend.is_answered());
    assert!(reads <= 16, "{reads} reads in 10 s");
}

#[test]
fn resend_is_told_when_a_live_holder_takes_longer_than_its_deadline() {
    let mut store = OneClaimStore::default();
    dispatched(&mut store, "entry-1");
    let mut short = request("{}");
    short.deadline = START + Duration::from_millis(50);

    let (mut resend, asked) = submit(short, holder("entry-2", 1), START);
    let asked = carry_out(&mut resend, &mut store, START, &asked);

    let answer = asked.answer.expect("an answer at once");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (409, Some("in_progress"))
    );
    assert!(answer.retry_after().is_some());
}

#[test]
fn claim_of_a_holder_that_is_gone_is_unknown_and_never_taken_over() {
    let mut store = OneClaimStore::default();
    dispatched(&mut store, "entry-1");
    let (mut resend, asked) = submit(request("{}"), holder("entry-2", 1), START);
    carry_out(&mut resend, &mut store, START, &asked);
    let gone = ClaimInput::Holder {
        holder: holder("entry-1", 1),
        status: HolderStatus::Gone,
    };

    let asked = step(&mut resend, START, gone);
    let asked = step(&mut resend, START, read_back(&asked, store.read()));

    let answer = asked.answer.expect("an answer");
    assert_eq!(
        (answer.status(), answer.error_type()),
        (504, Some("outcome_unknown"))
    );
    assert_eq!(asked.dispatch, None);
    assert!(resend.is_ended());
}

#[test]
fn call_that_was_never_sent_is_tried_again_under_a_new_attempt() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched(&mut store, "entry-1");

    let asked = step(&mut call, START, upstream(1, UpstreamOutcome::NotSent));
    let asked = carry_out(&mut call, &mut store, START, &asked);
    assert_eq!(asked.dispatch, Some(2));
    let asked = step(&mut call, START, upstream(2, UpstreamOutcome::NotSent));

    assert_eq!(
        not_run(&asked),
        (NotRunReason::ServiceUnreachable, OtherAttempts::NoneRan)
    );
    carry_out(&mut call, &mut store, START, &asked);
    let stored = store
        .present
        .and_then(|stored| stored.claim)
        .expect("a claim");
    assert_eq!((stored.attempt, stored.state), (2, ClaimState::NotRun));
}

#[test]
fn late_answer_is_recorded_for_resends_after_the_caller_was_told_unknown() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched(&mut store, "entry-1");
    let late = START + Duration::from_secs(11);

    let asked = step(&mut call, late, ClaimInput::Tick);
    assert!(matches!(asked.answer, Some(ClaimAnswer::OutcomeUnknown(_))));
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let asked = step(&mut call, late, upstream(1, done));

    assert_eq!(asked.answer, None);
    let asked = carry_out(&mut call, &mut store, late, &asked);
    assert_eq!(asked.events, [EventKind::ClaimDone]);
}

#[test]
fn record_of_an_answer_survives_an_outage_and_a_lost_reply() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched(&mut store, "entry-1");
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let asked = step(&mut call, START, upstream(1, done));
    step(&mut call, START, written(&asked, WriteOutcome::NoEffect));
    let retry = call.next_wake().expect("a retry");
    let asked = step(&mut call, retry, ClaimInput::Tick);
    let (_, claim, expected) = asked.write.clone().expect("record write");
    store.write(&claim, expected);
    step(&mut call, retry, written(&asked, WriteOutcome::Ambiguous));

    let retry = call.next_wake().expect("a retry");
    let asked = step(&mut call, retry, ClaimInput::Tick);
    let asked = carry_out(&mut call, &mut store, retry, &asked);

    assert_eq!(asked.events, [EventKind::ClaimDone]);
    assert!(call.is_ended());
}

#[test]
fn answer_is_recorded_although_the_store_has_lost_the_claim() {
    let mut store = OneClaimStore::default();
    let mut call = dispatched(&mut store, "entry-1");
    store.present = None;
    let done = UpstreamOutcome::Answered(service_answer("removed"));
    let asked = step(&mut call, START, upstream(1, done));

    let asked = carry_out(&mut call, &mut store, START, &asked);
    carry_out(&mut call, &mut store, START, &asked);

    let (mut resend, asked) = submit(request("{}"), holder("entry-2", 1), START);
    let asked = carry_out(&mut resend, &mut store, START, &asked);
    assert!(matches!(asked.answer, Some(ClaimAnswer::Replayed(_))));
}

#[test]
fn key_that_outlived_the_retention_is_refused() {
    let mut old = request("{}");
    old.key_issued_at = Some(START - Duration::from_secs(24 * 60 * 60));

    let (call, asked) = submit(old, holder("entry-1", 1), START);

    assert_eq!(not_run(&asked).0, NotRunReason::KeyExpired);
    assert_eq!(asked.answer.map(|answer| answer.status()), Some(410));
    assert!(call.is_ended());
}

#[test]
fn budget_refuses_at_once_and_names_the_time_to_come_back() {
    let mut budget = ClaimBudget::new(100.0, 4.0);
    assert_eq!(budget.admit(START), Ok(()));
    assert_eq!(budget.admit(START), Ok(()));

    let refused = budget.admit(START);
    let later = budget.admit(START + Duration::from_millis(20));

    assert_eq!(refused, Err(Duration::from_millis(20)));
    assert_eq!(later, Ok(()));
}

#[test]
fn claim_that_this_version_does_not_understand_is_unknown() {
    let foreign = StoredClaim::read("claim", b"{\"version\":9}", StoreRevision(3));
    let mut store = OneClaimStore {
        present: Some(foreign),
        revision: 3,
    };

    let (mut call, asked) = submit(request("{}"), holder("entry-1", 1), START);
    let asked = carry_out(&mut call, &mut store, START, &asked);

    assert!(matches!(asked.answer, Some(ClaimAnswer::OutcomeUnknown(_))));
}

#[test]
fn sweep_takes_only_claims_past_their_retention() {
    let mut store = OneClaimStore::default();
    dispatched(&mut store, "entry-1");
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
