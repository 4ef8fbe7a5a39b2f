//! Replicas that span several hosts.

use std::time::Duration;

use geranium_core::engine::EnginePhase;
use geranium_engine::prelude::*;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::fixture::{
    chat, completion, engine_client, expected_answer, form_group, load_order, open_stream,
    quick_engine, read_to_end, start_engine, wait_until,
};
use geranium_fakes::http::GateState;
use geranium_fakes::{EngineConfig, FakeEngine};

async fn start_pair() -> (FakeEngine, FakeEngine) {
    let pair = (
        start_engine(quick_engine("a")).await,
        start_engine(quick_engine("b")).await,
    );
    form_group(&engine_client(), &[&pair.0, &pair.1], 1)
        .await
        .expect("the group is formed");
    pair
}

async fn open_endless(engine: &FakeEngine) -> CompletionStream {
    open_stream(engine, &completion("r", 1, &chat("hi", u32::MAX))).await
}

#[tokio::test]
async fn a_replica_of_two_hosts_returns_the_complete_text() {
    let (head, _other) = start_pair().await;
    let chat = chat("hello", 100);
    let req = completion("r", 1, &chat);
    let mut stream = open_stream(&head, &req).await;

    let (text, end) = read_to_end(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
}

#[tokio::test]
async fn rank_0_loads_until_every_member_has_loaded() {
    let (head, other) = (
        start_engine(quick_engine("a")).await,
        start_engine(quick_engine("b")).await,
    );
    let members = [&head, &other];
    let order = load_order(&members, 0, 1);
    engine_client()
        .send_order(head.address(), &order)
        .await
        .expect("the engine applies the order");
    let alone = head.report().phase;

    let order = load_order(&members, 1, 1);
    engine_client()
        .send_order(other.address(), &order)
        .await
        .expect("the engine applies the order");
    wait_until(|| head.report().phase == EnginePhase::Cold).await;

    assert_eq!(alone, EnginePhase::Loading);
}

#[tokio::test]
async fn only_rank_0_takes_requests() {
    let (_head, other) = start_pair().await;

    let req = completion("r", 1, &chat("hi", 5));
    let outcome = engine_client()
        .stream_completion(other.address(), &req)
        .await;

    assert!(matches!(outcome, Err(EngineError::WrongGroup(..))));
}

#[tokio::test]
async fn a_replica_ends_when_a_member_is_unreachable() {
    let (head, other) = start_pair().await;
    let mut stream = open_endless(&head).await;

    other.set_fault(&EngineFault {
        connections: Some(GateState::Refuse),
        ..EngineFault::default()
    });
    let (_, end) = read_to_end(&mut stream).await;

    assert!(matches!(end, Err(EngineError::StreamTruncated(..))));
    assert_eq!(head.report().assignment, None);
    assert_eq!(head.report().phase, EnginePhase::Idle);
    assert_eq!(head.stats().replica_deaths, 1);
    assert!(other.report().assignment.is_some());
}

#[tokio::test]
async fn a_replica_ends_when_a_member_is_silent_for_too_long() {
    let head = start_engine(EngineConfig {
        member_timeout: Duration::from_millis(500),
        ..quick_engine("a")
    })
    .await;
    let other = start_engine(quick_engine("b")).await;
    form_group(&engine_client(), &[&head, &other], 1)
        .await
        .expect("the group is formed");
    let mut stream = open_endless(&head).await;

    other.set_fault(&EngineFault {
        pause_ms: Some(3_600_000),
        ..EngineFault::default()
    });
    let (_, end) = read_to_end(&mut stream).await;

    assert!(matches!(end, Err(EngineError::StreamTruncated(..))));
    assert_eq!(head.stats().replica_deaths, 1);
}

#[tokio::test]
async fn a_replica_ends_when_a_member_restarted_even_if_it_was_ordered_back() {
    let (head, other) = start_pair().await;
    let mut stream = open_endless(&head).await;

    other.set_fault(&EngineFault {
        fail_over: true,
        ..EngineFault::default()
    });
    let order = load_order(&[&head, &other], 1, 1);
    engine_client()
        .send_order(other.address(), &order)
        .await
        .expect("the engine applies the order");
    let (_, end) = read_to_end(&mut stream).await;

    assert!(matches!(end, Err(EngineError::StreamTruncated(..))));
    assert_eq!(head.stats().replica_deaths, 1);
}

#[tokio::test]
async fn the_other_members_stay_assigned_when_rank_0_is_gone() {
    let (head, other) = start_pair().await;

    drop(head);

    let report = engine_client()
        .report(other.address())
        .await
        .expect("the engine reports");
    assert!(report.assignment.is_some());
}

#[tokio::test]
async fn a_renewed_fencing_number_does_not_end_the_replica() {
    let (head, other) = start_pair().await;
    let members = [&head, &other];
    for (rank, engine) in members.iter().enumerate() {
        let order = load_order(&members, rank, 2);
        engine_client()
            .send_order(engine.address(), &order)
            .await
            .expect("the engine applies the order");
    }

    let chat = chat("hello", 100);
    let req = completion("r", 2, &chat);
    let mut stream = open_stream(&head, &req).await;
    let (text, end) = read_to_end(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
    assert_eq!(head.stats().replica_deaths, 0);
}

#[tokio::test]
async fn finished_requests_warm_up_every_member_and_one_that_forgets_cools_all() {
    let (head, other) = (
        start_engine(EngineConfig {
            warm_after: 2,
            ..quick_engine("a")
        })
        .await,
        start_engine(quick_engine("b")).await,
    );
    form_group(&engine_client(), &[&head, &other], 1)
        .await
        .expect("the group is formed");
    let phases = |phase| {
        let (head, other) = (&head, &other);
        move || head.report().phase == phase && other.report().phase == phase
    };

    for request in ["r1", "r2"] {
        let req = completion(request, 1, &chat("hi", 2));
        let mut stream = open_stream(&head, &req).await;
        let (_, end) = read_to_end(&mut stream).await;
        assert_eq!(end, Ok(()));
    }
    wait_until(phases(EnginePhase::Warm)).await;
    other.set_fault(&EngineFault {
        forget: true,
        ..EngineFault::default()
    });
    wait_until(phases(EnginePhase::Cold)).await;

    assert_eq!(head.stats().replica_deaths, 0);
}
