//! Tests changes of records by operators: races, and writes with an unknown outcome.

use geranium_operator::ApplyOutcome;
use serde_json::json;

use geranium_fakes::system::until;
use geranium_fakes::system::{DomainSize, System, account, model};

use crate::GERANIUMD;

const TWO_HOSTS: [DomainSize; 2] = [
    DomainSize::new("lima-1", 1, 2),
    DomainSize::new("lima-2", 1, 2),
];

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_racing_a_hundred_times_one_wins_and_the_other_is_told() {
    let system = System::start(GERANIUMD, &TWO_HOSTS, |_| {}).await;
    system.apply(&account()).await;
    let other = system.entry(1).operator;
    until("the account on both hosts", || async {
        system.operator.record(other, "account", "desk").await.ok()
    })
    .await;
    system
        .apply_at(0, &model(&[("lima-1", 0)], 2), "first", None)
        .await
        .expect("accepted");

    for round in 1..=100_u32 {
        let mut document_a = model(&[("lima-1", 0)], 2);
        let mut document_b = document_a.clone();
        document_a["warm_concurrency"] = json!(100 + round);
        document_b["warm_concurrency"] = json!(1_000 + round);
        let expected = Some(u64::from(round));
        let (a, b) = tokio::join!(
            system.apply_at(0, &document_a, "ana", expected),
            system.apply_at(1, &document_b, "ben", expected),
        );
        let (a, b) = (a.expect("an answer"), b.expect("an answer"));
        let (value_of_ana, value_of_ben) = (100 + round, 1_000 + round);
        let (winner, loser, stored, refused) = match (a.outcome, b.outcome) {
            (ApplyOutcome::Accepted, ApplyOutcome::LostRace) => {
                ("ana", b, value_of_ana, value_of_ben)
            }
            (ApplyOutcome::LostRace, ApplyOutcome::Accepted) => {
                ("ben", a, value_of_ben, value_of_ana)
            }
            other => panic!("round {round}: {other:?}"),
        };
        let race = loser.lost_race.expect("who won");
        assert_eq!(race.winner.operator, winner);
        let difference = format!("warm_concurrency: {stored} -> {refused}");
        assert_eq!(race.differences, [difference]);
        assert_eq!(race.winner.generation, u64::from(round) + 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_record_is_in_force_on_every_host_and_an_ambiguous_write_is_settled() {
    let system = System::start(GERANIUMD, &TWO_HOSTS, |_| {}).await;
    let lost_answer = geranium_fakes::platform::PlatformFault {
        lose_answers: Some(1),
        ..geranium_fakes::platform::PlatformFault::default()
    };
    system.platform.set_fault(&lost_answer);

    let answer = system.apply_at(0, &account(), "ana", None).await;

    // The lost answer may belong to another write; the outcome must be right in both cases.
    let answer = answer.expect("a settled answer");
    assert_eq!(answer.outcome, ApplyOutcome::Accepted);
    let at = system.entry(0).operator;
    let views = until("in force on both hosts", || async {
        let views = system
            .operator
            .in_force(at, "account", "desk", answer.generation)
            .await;
        let views = views.ok()?;
        (views.len() == 2 && views.iter().all(|view| view.in_force)).then_some(views)
    })
    .await;
    assert_eq!(views.len(), 2);
}
