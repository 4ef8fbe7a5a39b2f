//! The engine client against the stand-in of an engine.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use geranium_core::engine::{EnginePhase, LoadOrder, Member, Order, OrderAction};
use geranium_core::id::{FencingNumber, GroupId, HostId, RequestId};
use geranium_engine::prelude::*;
use geranium_fakes::{EngineConfig, FakeEngine, expected_text};

const WEIGHTS: &str = "maranta-70b";
const VERSION: &str = "3";
const GROUP: &str = "g1";

fn config(host: &str) -> EngineConfig {
    EngineConfig {
        load_time: Duration::ZERO,
        token_time: Duration::from_micros(100),
        ..EngineConfig::new(HostId::new(host))
    }
}

async fn start(cfg: EngineConfig) -> FakeEngine {
    FakeEngine::start(cfg)
        .await
        .expect("loopback can be listened on")
}

fn client() -> HttpEngineClient {
    HttpEngineClient::new(EngineClientConfig::default())
}

fn load_order(members: &[&FakeEngine], rank: usize, fencing: u64) -> Order {
    let all = members.iter().map(|engine| Member {
        host: engine.host().clone(),
        address: engine.address(),
    });
    Order {
        host: members[rank].host().clone(),
        fencing: FencingNumber(fencing),
        action: OrderAction::Load(LoadOrder {
            group: GroupId::new(GROUP),
            model: WEIGHTS.to_owned(),
            version: VERSION.to_owned(),
            adapters: Vec::new(),
            rank: u32::try_from(rank).expect("few members"),
            members: all.collect(),
        }),
    }
}

/// Forms a group and waits until its rank 0 takes requests.
async fn form(members: &[&FakeEngine], fencing: u64) {
    for (rank, engine) in members.iter().enumerate() {
        let order = load_order(members, rank, fencing);
        client()
            .send_order(engine.address(), &order)
            .await
            .expect("followed");
    }
    wait_for_phase(members[0], EnginePhase::Cold).await;
}

async fn wait_for_phase(engine: &FakeEngine, phase: EnginePhase) {
    while engine.report().phase != phase {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn chat(content: &str, tokens: u32) -> ChatRequest {
    ChatRequest {
        max_tokens: tokens,
        ..ChatRequest::user("maranta", content)
    }
}

fn completion(request: &str, fencing: u64, chat: &ChatRequest) -> CompletionRequest {
    CompletionRequest {
        request: RequestId::new(request),
        group: GroupId::new(GROUP),
        fencing: FencingNumber(fencing),
        priority: 5,
        remaining: Duration::from_secs(60),
        body: Bytes::from(serde_json::to_vec(chat).expect("serialisable")),
        resume: None,
    }
}

fn expected(chat: &ChatRequest) -> String {
    expected_text(WEIGHTS, VERSION, &chat.prompt(), chat.max_tokens)
}

/// Reads a stream to its end: its text, and whether it ended as whole.
async fn read(mut stream: CompletionStream) -> (String, Result<(), EngineError>) {
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

#[tokio::test]
async fn a_group_of_two_loads_and_streams_the_whole_text() {
    let (a, b) = (start(config("a")).await, start(config("b")).await);
    form(&[&a, &b], 7).await;
    let chat = chat("hello", 40);

    let stream = client()
        .stream_completion(a.address(), &completion("r1", 7, &chat))
        .await
        .expect("accepted");
    let (text, end) = read(stream).await;

    assert_eq!(end, Ok(()));
    assert_eq!(text, expected(&chat));
}
