//! Completions that finish, are cancelled or are refused.

use std::time::Duration;

use futures::StreamExt;
use geranium_core::id::{GroupId, RequestId};
use geranium_engine::prelude::*;
use geranium_fakes::EngineConfig;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::fixture::{
    chat, completion, engine_client, expected_answer, open_stream, quick_engine, read_pieces,
    read_to_end, serving_engine, wait_until,
};

const ENDLESS: u32 = u32::MAX;

#[tokio::test]
async fn a_stream_returns_the_complete_text_and_then_ends() {
    let engine = serving_engine(quick_engine("a")).await;
    let chat = chat("hello \"there\"", 100);
    let mut stream = open_stream(&engine, &completion("r", 1, &chat)).await;

    let (text, end) = read_to_end(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
    assert_eq!(stream.next().await, None);
    assert_eq!(engine.stats().completed, 1);
}

#[tokio::test]
async fn a_buffered_response_has_the_same_text_as_a_stream() {
    let engine = serving_engine(quick_engine("a")).await;
    let chat = ChatRequest {
        stream: false,
        ..chat("hello", 20)
    };

    let body = engine_client()
        .buffered_completion(engine.address(), &completion("r", 1, &chat))
        .await
        .expect("the engine runs the completion");

    let answer: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_answer(&chat)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 20);
}

#[tokio::test]
async fn a_cancel_frees_the_slot_for_the_next_request() {
    let engine = serving_engine(EngineConfig {
        slots: 1,
        ..quick_engine("a")
    })
    .await;
    let mut running = open_stream(&engine, &completion("first", 1, &chat("hi", ENDLESS))).await;
    read_pieces(&mut running, 1).await;
    let chat = chat("next", 10);
    let mut waiting = open_stream(&engine, &completion("second", 1, &chat)).await;

    let request = RequestId::new("first");
    engine_client()
        .cancel(engine.address(), &request)
        .await
        .expect("the engine accepts the cancellation");
    let (text, end) = read_to_end(&mut waiting).await;
    let (_, cancelled) = read_to_end(&mut running).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
    assert!(matches!(cancelled, Err(EngineError::StreamTruncated(..))));
    assert_eq!(engine.stats().cancelled, 1);
    assert_eq!(engine.stats().peak_concurrent, 1);
}

#[tokio::test]
async fn a_dropped_stream_frees_the_slot_too() {
    let engine = serving_engine(EngineConfig {
        slots: 1,
        ..quick_engine("a")
    })
    .await;
    let mut running = open_stream(&engine, &completion("first", 1, &chat("hi", ENDLESS))).await;
    read_pieces(&mut running, 1).await;
    let mut waiting = open_stream(&engine, &completion("second", 1, &chat("next", 10))).await;

    drop(running);
    let (_, end) = read_to_end(&mut waiting).await;

    assert_eq!(end, Ok(()));
    wait_until(|| engine.stats().cancelled == 1).await;
}

#[tokio::test]
async fn cancelling_an_unknown_request_is_not_an_error() {
    let engine = serving_engine(quick_engine("a")).await;

    let outcome = engine_client()
        .cancel(engine.address(), &RequestId::new("none"))
        .await;

    assert_eq!(outcome, Ok(()));
}

#[tokio::test]
async fn a_request_for_another_group_or_fencing_number_is_not_run() {
    let engine = serving_engine(quick_engine("a")).await;
    let matching = completion("r", 1, &chat("hi", 5));
    let other_group = CompletionRequest {
        group: GroupId::new("lima-1:2"),
        ..matching.clone()
    };
    let other_fencing = completion("r", 2, &chat("hi", 5));

    for req in [other_group, other_fencing] {
        let refused = engine_client()
            .stream_completion(engine.address(), &req)
            .await;
        let Err(e @ EngineError::WrongGroup(..)) = refused else {
            panic!("{refused:?}");
        };
        assert!(e.is_not_run());
    }
    assert_eq!(engine.stats().executions, 0);
    assert_eq!(engine.stats().wrong_group, 2);
}

#[tokio::test]
async fn a_completion_past_its_deadline_ends_with_a_typed_error() {
    let engine = serving_engine(quick_engine("a")).await;
    let req = CompletionRequest {
        remaining: Duration::from_secs(1),
        ..completion("r", 1, &chat("hi", ENDLESS))
    };
    let mut stream = open_stream(&engine, &req).await;

    let (_, end) = read_to_end(&mut stream).await;

    let Err(EngineError::StreamFailed(_, kind, _)) = end else {
        panic!("{end:?}");
    };
    assert_eq!(kind, "deadline_exceeded");
    assert_eq!(engine.stats().expired, 1);
}

#[tokio::test]
async fn pieces_out_of_order_and_repeated_keep_their_index() {
    let engine = serving_engine(quick_engine("a")).await;
    engine.set_fault(&EngineFault {
        swap_every: Some(3),
        repeat_every: Some(4),
        ..EngineFault::default()
    });
    let chat = chat("hello", 7);
    let mut stream = open_stream(&engine, &completion("r", 1, &chat)).await;

    let mut pieces = Vec::new();
    while let Some(Ok(CompletionEvent::Piece(piece))) = stream.next().await {
        pieces.push(piece);
    }

    let sent: Vec<u64> = pieces.iter().map(|piece| piece.index).collect();
    assert_eq!(sent, [1, 0, 2, 4, 4, 3, 5, 6, 7]);
    pieces.sort_by_key(|piece| piece.index);
    pieces.dedup();
    let texts = pieces.iter().map(|piece| piece.text().expect("a chunk"));
    assert_eq!(texts.collect::<String>(), expected_answer(&chat));
}
