//! Completions on engines that fail, and how they resume on another engine.

use futures::StreamExt;
use geranium_engine::prelude::*;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::fixture::{
    chat, completion, engine_client, expected_answer, open_stream, quick_engine, read_pieces,
    read_to_end, serving_engine, wait_until,
};
use geranium_fakes::{EngineConfig, FakeEngine};

const ENDLESS: u32 = u32::MAX;

/// Runs a completion that must fail, either before or after its stream opens, and
/// returns the error.
async fn first_error(engine: &FakeEngine, req: &CompletionRequest) -> EngineError {
    match engine_client()
        .stream_completion(engine.address(), req)
        .await
    {
        Ok(mut stream) => read_to_end(&mut stream).await.1.expect_err("a failure"),
        Err(e) => e,
    }
}

#[tokio::test]
async fn a_stream_resumed_on_another_engine_gives_the_same_bytes() {
    let (first, second) = (
        serving_engine(quick_engine("a")).await,
        serving_engine(quick_engine("b")).await,
    );
    let chat = chat("hello", 200);
    let mut stream = open_stream(&first, &completion("r", 1, &chat)).await;
    let head = read_pieces(&mut stream, 50).await;
    first.set_fault(&EngineFault {
        fail_over: true,
        ..EngineFault::default()
    });

    let resumed = CompletionRequest {
        resume: Some(Resume {
            from_index: 50,
            text: head.clone(),
        }),
        ..completion("r", 1, &chat)
    };
    let mut stream = open_stream(&second, &resumed).await;
    let (tail, end) = read_to_end(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(head + &tail, expected_answer(&chat));
    assert_eq!(second.stats().resumed, 1);
    assert_eq!(second.stats().resume_mismatches, 0);
}

#[tokio::test]
async fn a_resume_with_a_different_text_is_detected() {
    let engine = serving_engine(quick_engine("a")).await;
    let resumed = CompletionRequest {
        resume: Some(Resume {
            from_index: 1,
            text: "something else".to_owned(),
        }),
        ..completion("r", 1, &chat("hello", 2))
    };

    let (_, end) = read_to_end(&mut open_stream(&engine, &resumed).await).await;

    assert_eq!(end, Ok(()));
    assert_eq!(engine.stats().resume_mismatches, 1);
}

#[tokio::test]
async fn a_truncated_stream_is_an_error_and_never_complete() {
    let engine = serving_engine(quick_engine("a")).await;
    let mut stream = open_stream(&engine, &completion("r", 1, &chat("hi", ENDLESS))).await;
    read_pieces(&mut stream, 5).await;

    engine.set_fault(&EngineFault {
        cut_streams: true,
        ..EngineFault::default()
    });
    let (_, end) = read_to_end(&mut stream).await;

    assert!(matches!(end, Err(EngineError::StreamTruncated(..))));
    assert_eq!(stream.next().await, None);
    assert_eq!(engine.stats().cut, 1);
}

#[tokio::test]
async fn a_truncated_buffered_response_is_an_error() {
    let engine = serving_engine(quick_engine("a")).await;
    let chat = ChatRequest {
        stream: false,
        ..chat("hi", ENDLESS)
    };
    let (client, address) = (engine_client(), engine.address());
    let req = completion("r", 1, &chat);
    let answer = tokio::spawn(async move { client.buffered_completion(address, &req).await });
    wait_until(|| engine.stats().executions == 1).await;

    engine.set_fault(&EngineFault {
        cut_streams: true,
        ..EngineFault::default()
    });

    let answer = answer.await.expect("the task does not panic");
    assert!(matches!(answer, Err(EngineError::NoAnswer(_))));
}

#[tokio::test]
async fn a_cold_engine_crashes_above_its_capacity() {
    let engine = serving_engine(EngineConfig {
        cold_capacity: 2,
        ..quick_engine("a")
    })
    .await;
    let endless = chat("hi", ENDLESS);
    let mut first = open_stream(&engine, &completion("r1", 1, &endless)).await;
    let mut second = open_stream(&engine, &completion("r2", 1, &endless)).await;

    let third = engine_client()
        .stream_completion(engine.address(), &completion("r3", 1, &endless))
        .await;
    let (_, first) = read_to_end(&mut first).await;
    let (_, second) = read_to_end(&mut second).await;

    assert!(matches!(third, Err(EngineError::NoAnswer(_))));
    assert!(matches!(first, Err(EngineError::StreamTruncated(..))));
    assert!(matches!(second, Err(EngineError::StreamTruncated(..))));
    assert_eq!(engine.stats().over_capacity, 1);
    assert_eq!(engine.report().assignment, None);
}

#[tokio::test]
async fn a_prompt_with_the_crash_marker_crashes_the_engine() {
    let engine = serving_engine(EngineConfig {
        crash_marker: Some("poison".to_owned()),
        ..quick_engine("a")
    })
    .await;
    let before = engine.report().incarnation;
    let mut bystander = open_stream(&engine, &completion("r1", 1, &chat("hi", ENDLESS))).await;

    let crashing = completion("r2", 1, &chat("a poison pill", 5));
    let crashed = first_error(&engine, &crashing).await;
    let (_, bystander) = read_to_end(&mut bystander).await;

    assert!(!crashed.is_not_run());
    assert!(matches!(bystander, Err(EngineError::StreamTruncated(..))));
    assert_ne!(engine.report().incarnation, before);
    assert_eq!(engine.stats().crashes, 1);
}

#[tokio::test]
async fn a_paused_engine_continues_its_streams() {
    let engine = serving_engine(quick_engine("a")).await;
    let chat = chat("hi", 2_000);
    let mut stream = open_stream(&engine, &completion("r", 1, &chat)).await;
    let head = read_pieces(&mut stream, 1).await;

    engine.set_fault(&EngineFault {
        pause_ms: Some(30),
        ..EngineFault::default()
    });
    let (tail, end) = read_to_end(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(head + &tail, expected_answer(&chat));
}
