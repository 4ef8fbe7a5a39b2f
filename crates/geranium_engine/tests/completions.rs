//! Completions: whole, resumed, cut, cancelled and refused.

use std::time::Duration;

use futures::StreamExt;
use geranium_core::id::{GroupId, RequestId};
use geranium_engine::prelude::*;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::fixture::{
    chat, completion, expected_answer, form_group, quick_engine, wait_until,
};
use geranium_fakes::{EngineConfig, FakeEngine};

const ENDLESS: u32 = u32::MAX;

async fn serving(cfg: EngineConfig) -> FakeEngine {
    let engine = FakeEngine::start(cfg)
        .await
        .expect("loopback can be listened on");
    form_group(&client(), &[&engine], 1).await.expect("formed");
    engine
}

fn client() -> HttpEngineClient {
    HttpEngineClient::new(EngineClientConfig::default())
}

async fn open(engine: &FakeEngine, req: &CompletionRequest) -> CompletionStream {
    client()
        .stream_completion(engine.address(), req)
        .await
        .expect("accepted")
}

/// Reads pieces until there are `count`, and returns their text.
async fn read_some(stream: &mut CompletionStream, count: u64) -> String {
    let mut text = String::new();
    for index in 0..count {
        match stream.next().await {
            Some(Ok(CompletionEvent::Piece(piece))) => {
                assert_eq!(piece.index, index);
                text.push_str(&piece.text().expect("a chunk"));
            }
            other => panic!("no piece: {other:?}"),
        }
    }
    text
}

/// Reads a stream to its end: its text, and how it ended.
async fn read_all(stream: &mut CompletionStream) -> (String, Result<(), EngineError>) {
    let mut text = String::new();
    while let Some(event) = stream.next().await {
        match event {
            Ok(CompletionEvent::Piece(piece)) => text.push_str(&piece.text().expect("a chunk")),
            Ok(CompletionEvent::Done) => return (text, Ok(())),
            Err(e) => return (text, Err(e)),
        }
    }
    panic!("the stream ended without an end marker or an error");
}

/// Runs a completion that fails, before or after its stream is open.
async fn first_error(engine: &FakeEngine, req: &CompletionRequest) -> EngineError {
    match client().stream_completion(engine.address(), req).await {
        Ok(mut stream) => read_all(&mut stream).await.1.expect_err("a failure"),
        Err(e) => e,
    }
}

#[tokio::test]
async fn a_stream_gives_the_whole_text_and_then_ends() {
    let engine = serving(quick_engine("a")).await;
    let chat = chat("hello \"there\"", 100);
    let mut stream = open(&engine, &completion("r", 1, &chat)).await;

    let (text, end) = read_all(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
    assert_eq!(stream.next().await, None);
    assert_eq!(engine.stats().completed, 1);
}

#[tokio::test]
async fn a_whole_answer_has_the_same_text_as_a_stream() {
    let engine = serving(quick_engine("a")).await;
    let chat = ChatRequest {
        stream: false,
        ..chat("hello", 20)
    };

    let body = client()
        .whole_completion(engine.address(), &completion("r", 1, &chat))
        .await
        .expect("answered");

    let answer: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_answer(&chat)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 20);
}

#[tokio::test]
async fn a_stream_that_goes_on_elsewhere_gives_the_same_bytes() {
    let (first, second) = (
        serving(quick_engine("a")).await,
        serving(quick_engine("b")).await,
    );
    let chat = chat("hello", 200);
    let mut stream = open(&first, &completion("r", 1, &chat)).await;
    let head = read_some(&mut stream, 50).await;
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
    let mut stream = open(&second, &resumed).await;
    let (tail, end) = read_all(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(head + &tail, expected_answer(&chat));
    assert_eq!(second.stats().resumed, 1);
    assert_eq!(second.stats().resume_mismatches, 0);
}

#[tokio::test]
async fn a_resume_with_another_text_is_noticed() {
    let engine = serving(quick_engine("a")).await;
    let resumed = CompletionRequest {
        resume: Some(Resume {
            from_index: 1,
            text: "something else".to_owned(),
        }),
        ..completion("r", 1, &chat("hello", 2))
    };

    let (_, end) = read_all(&mut open(&engine, &resumed).await).await;

    assert_eq!(end, Ok(()));
    assert_eq!(engine.stats().resume_mismatches, 1);
}

#[tokio::test]
async fn a_cut_stream_is_an_error_and_never_whole() {
    let engine = serving(quick_engine("a")).await;
    let mut stream = open(&engine, &completion("r", 1, &chat("hi", ENDLESS))).await;
    read_some(&mut stream, 5).await;

    engine.set_fault(&EngineFault {
        cut_streams: true,
        ..EngineFault::default()
    });
    let (_, end) = read_all(&mut stream).await;

    assert!(matches!(end, Err(EngineError::Cut(..))));
    assert_eq!(stream.next().await, None);
    assert_eq!(engine.stats().cut, 1);
}

#[tokio::test]
async fn a_whole_answer_that_is_cut_is_an_error() {
    let engine = serving(quick_engine("a")).await;
    let chat = ChatRequest {
        stream: false,
        ..chat("hi", ENDLESS)
    };
    let (client, address) = (client(), engine.address());
    let req = completion("r", 1, &chat);
    let answer = tokio::spawn(async move { client.whole_completion(address, &req).await });
    wait_until(|| engine.stats().executions == 1).await;

    engine.set_fault(&EngineFault {
        cut_streams: true,
        ..EngineFault::default()
    });

    let answer = answer.await.expect("no panic");
    assert!(matches!(answer, Err(EngineError::NoAnswer(_))));
}

#[tokio::test]
async fn a_cancel_frees_the_slot_for_the_next_request() {
    let engine = serving(EngineConfig {
        slots: 1,
        ..quick_engine("a")
    })
    .await;
    let mut running = open(&engine, &completion("first", 1, &chat("hi", ENDLESS))).await;
    read_some(&mut running, 1).await;
    let chat = chat("next", 10);
    let mut waiting = open(&engine, &completion("second", 1, &chat)).await;

    let request = RequestId::new("first");
    client()
        .cancel(engine.address(), &request)
        .await
        .expect("cancelled");
    let (text, end) = read_all(&mut waiting).await;
    let (_, cancelled) = read_all(&mut running).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected_answer(&chat));
    assert!(matches!(cancelled, Err(EngineError::Cut(..))));
    assert_eq!(engine.stats().cancelled, 1);
    assert_eq!(engine.stats().peak_concurrent, 1);
}

#[tokio::test]
async fn a_dropped_stream_frees_the_slot_too() {
    let engine = serving(EngineConfig {
        slots: 1,
        ..quick_engine("a")
    })
    .await;
    let mut running = open(&engine, &completion("first", 1, &chat("hi", ENDLESS))).await;
    read_some(&mut running, 1).await;
    let mut waiting = open(&engine, &completion("second", 1, &chat("next", 10))).await;

    drop(running);
    let (_, end) = read_all(&mut waiting).await;

    assert_eq!(end, Ok(()));
    wait_until(|| engine.stats().cancelled == 1).await;
}

#[tokio::test]
async fn a_cancel_of_an_unknown_request_is_no_error() {
    let engine = serving(quick_engine("a")).await;

    let outcome = client()
        .cancel(engine.address(), &RequestId::new("none"))
        .await;

    assert_eq!(outcome, Ok(()));
}

#[tokio::test]
async fn a_request_for_another_group_or_fencing_number_is_not_run() {
    let engine = serving(quick_engine("a")).await;
    let right = completion("r", 1, &chat("hi", 5));
    let other_group = CompletionRequest {
        group: GroupId::new("lima-1:2"),
        ..right.clone()
    };
    let other_fencing = completion("r", 2, &chat("hi", 5));

    for req in [other_group, other_fencing] {
        let refused = client().stream_completion(engine.address(), &req).await;
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
    let engine = serving(quick_engine("a")).await;
    let req = CompletionRequest {
        remaining: Duration::from_secs(1),
        ..completion("r", 1, &chat("hi", ENDLESS))
    };
    let mut stream = open(&engine, &req).await;

    let (_, end) = read_all(&mut stream).await;

    let Err(EngineError::StreamFailed(_, kind, _)) = end else {
        panic!("{end:?}");
    };
    assert_eq!(kind, "deadline_exceeded");
    assert_eq!(engine.stats().expired, 1);
}

#[tokio::test]
async fn a_cold_engine_falls_over_under_more_than_it_bears() {
    let engine = serving(EngineConfig {
        cold_capacity: 2,
        ..quick_engine("a")
    })
    .await;
    let endless = chat("hi", ENDLESS);
    let mut first = open(&engine, &completion("r1", 1, &endless)).await;
    let mut second = open(&engine, &completion("r2", 1, &endless)).await;

    let third = client()
        .stream_completion(engine.address(), &completion("r3", 1, &endless))
        .await;
    let (_, first) = read_all(&mut first).await;
    let (_, second) = read_all(&mut second).await;

    assert!(matches!(third, Err(EngineError::NoAnswer(_))));
    assert!(matches!(first, Err(EngineError::Cut(..))));
    assert!(matches!(second, Err(EngineError::Cut(..))));
    assert_eq!(engine.stats().over_capacity, 1);
    assert_eq!(engine.report().assignment, None);
}

#[tokio::test]
async fn a_prompt_with_the_crash_marker_makes_the_engine_fall_over() {
    let engine = serving(EngineConfig {
        crash_marker: Some("poison".to_owned()),
        ..quick_engine("a")
    })
    .await;
    let before = engine.report().incarnation;
    let mut bystander = open(&engine, &completion("r1", 1, &chat("hi", ENDLESS))).await;

    let crashing = completion("r2", 1, &chat("a poison pill", 5));
    let crashed = first_error(&engine, &crashing).await;
    let (_, bystander) = read_all(&mut bystander).await;

    assert!(!crashed.is_not_run());
    assert!(matches!(bystander, Err(EngineError::Cut(..))));
    assert_ne!(engine.report().incarnation, before);
    assert_eq!(engine.stats().crashes, 1);
}

#[tokio::test]
async fn a_paused_engine_goes_on_with_its_streams() {
    let engine = serving(quick_engine("a")).await;
    let chat = chat("hi", 2_000);
    let mut stream = open(&engine, &completion("r", 1, &chat)).await;
    let head = read_some(&mut stream, 1).await;

    engine.set_fault(&EngineFault {
        pause_ms: Some(30),
        ..EngineFault::default()
    });
    let (tail, end) = read_all(&mut stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(head + &tail, expected_answer(&chat));
}

#[tokio::test]
async fn pieces_out_of_order_and_repeated_keep_their_index() {
    let engine = serving(quick_engine("a")).await;
    engine.set_fault(&EngineFault {
        swap_every: Some(3),
        repeat_every: Some(4),
        ..EngineFault::default()
    });
    let chat = chat("hello", 7);
    let mut stream = open(&engine, &completion("r", 1, &chat)).await;

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
