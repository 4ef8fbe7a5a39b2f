//! Group generations are compared only for equality; they have no order.

use std::time::Duration;

use geranium_core::id::{GroupId, HostId, Incarnation};
use geranium_core::limit::{
    ColdCreditUser, ColdSettings, CrashId, CreditGrant, RequestFingerprint, TrialHolder,
    TrialRequest,
};
use geranium_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(10_000);

fn group() -> GroupId {
    GroupId::new("g1")
}

/// Requests a credit for a generation and grants it.
fn obtain_credit(user: &mut ColdCreditUser, now: Timestamp, generation: u64) {
    user.set_wanted(&group(), generation, 1);
    let due = user.requests_due(now);
    let req = due
        .iter()
        .find(|req| req.generation == generation)
        .expect("a request for the generation is due");
    let grant = CreditGrant {
        group: group(),
        generation,
        sequence: req.sequence,
        credits: 1,
        asked_at: req.asked_at,
        warm: false,
    };
    user.granted(now, &grant);
}

fn trial(generation: u64, fingerprint: u8) -> TrialRequest {
    TrialRequest {
        user: HostId::new("e1"),
        incarnation: Incarnation(1),
        group: group(),
        generation,
        fingerprint: RequestFingerprint([fingerprint; 16]),
        asked_at: START,
    }
}

#[test]
fn cold_credits_follow_a_group_whose_new_generation_is_a_smaller_number() {
    let mut user = ColdCreditUser::new(HostId::new("e1"), Incarnation(1), ColdSettings::default());
    obtain_credit(&mut user, START, 900);
    let later = START + Duration::from_secs(1);

    obtain_credit(&mut user, later, 7);

    assert!(user.try_start(later, &group(), 7));
}

#[test]
fn trial_of_an_earlier_generation_does_not_block_one_of_a_smaller_number() {
    let mut holder = TrialHolder::new(Duration::from_secs(5), Duration::ZERO);
    holder.extend_authority(START, START + Duration::from_secs(60));
    let now = START + Duration::from_secs(6);
    holder.request(now, &trial(900, 1)).expect("granted");

    holder
        .request(now, &trial(7, 2))
        .expect("granted for the new generation");

    let crash = CrashId {
        group: group(),
        generation: 900,
    };
    assert_eq!(holder.suspect(&crash), Some(RequestFingerprint([1; 16])));
}
