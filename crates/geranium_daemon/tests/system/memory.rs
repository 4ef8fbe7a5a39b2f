//! Tests the memory of an entry host while backend servers send much that no caller takes.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use geranium_engine::ChatRequest;
use geranium_fakes::FakeEngine;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::system::{
    DESK_KEY, DomainSize, RESPONSE_MEMORY_BYTES, System, account, expected, until,
};
use geranium_net::{ClientConfig, HttpClient, HttpRequest};
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::GERANIUMD;

/// Concurrent calls of a service that never completes its answers.
const CALLS: usize = 120;
/// Bytes that the service sends of each answer, just under the most of one answer.
const SENT_BYTES: usize = 4_000_000;
/// Concurrent completions of an engine that sends long pieces.
const COMPLETIONS: usize = 12;
/// Pieces of each completion, fewer than are buffered for a caller that reads slowly.
const PIECES: u32 = 60;
/// Bytes of each piece, less than the most of one event.
const PIECE_BYTES: usize = 200_000;
/// Memory that the entry host uses for all but answers, at most.
const OTHER_MEMORY_BYTES: u64 = 40 << 20;
/// Memory that the entry host may use at most. Buffers that grow take up to twice what they hold.
const MEMORY_BYTES: u64 = 2 * RESPONSE_MEMORY_BYTES + OTHER_MEMORY_BYTES;
/// Longest time for the answers to all calls.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a service that sends most of each answer and then nothing until it is closed.
async fn start_incomplete_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_incomplete_answer(stream));
        }
    });
    address
}

async fn send_incomplete_answer(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        SENT_BYTES + 1
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&vec![b'b'; SENT_BYTES]).await;
    // Returns when the entry host closes the connection.
    let _ = stream.read(&mut request).await;
}

async fn apply_service(system: &System, address: SocketAddr) {
    system.apply(&account()).await;
    let document = json!({
        "schema_version": 2, "kind": "service", "name": "archive",
        "endpoints": [{
            "host": "svc-1", "failure_domain": "lima-1", "address": address.to_string(),
        }],
        "routes": [{"method": "GET", "path": "/pages/*", "idempotent": true}],
        "accounts": ["desk"],
    });
    system.apply(&document).await;
    let at = system.entry(0).operator;
    until("the service on the entry host", || async move {
        system.operator.record(at, "service", "archive").await.ok()
    })
    .await;
}

fn page_request(system: &System, page: usize) -> HttpRequest {
    let path = format!("/v1/services/archive/pages/{page}");
    HttpRequest::get(system.entry(0).caller, path)
        .header_text("authorization", &format!("Bearer {DESK_KEY}"))
        .and_then(|req| req.header_text("x-deadline-ms", "5000"))
        .expect("a valid request")
}

/// Guards against an entry host that runs out of memory: each answer of a faulty service is
/// bounded, but not all of them together.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_answers_of_a_service_stay_within_the_memory_limit() {
    let domain = DomainSize::new("lima-1", 1, 0);
    let system = System::start(GERANIUMD, &[domain], |_| {}).await;
    apply_service(&system, start_incomplete_service().await).await;

    let calls = (0..CALLS).map(|i| system.http.send_buffered(page_request(&system, i), TIMEOUT));
    let answers = join_all(calls).await;

    for answer in answers {
        let (status, _) = answer.expect("an answer");
        let failures = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        assert!(failures.contains(&status), "{status}");
    }
    let peak = system.entries[0].peak_memory();
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
}

/// Starts a system with one group whose head sends long pieces.
async fn system_with_long_pieces() -> System {
    let domain = DomainSize::new("lima-1", 1, 2);
    let system = System::start(GERANIUMD, &[domain], |cfg| {
        cfg.token_time = Duration::from_millis(1);
    })
    .await;
    system.apply_model(&[(domain.name, 1)], 2).await;
    system.wait_serving(domain.name, 1).await;
    system.warm_up(0).await;
    set_piece_bytes(&system, PIECE_BYTES);
    system
}

fn set_piece_bytes(system: &System, bytes: usize) {
    for engine in system.engines.iter().flatten() {
        engine.set_fault(&EngineFault {
            pad_pieces: Some(bytes),
            ..EngineFault::default()
        });
    }
}

/// Returns the number of completions that an engine has worked on and has ended.
fn ended_completions(system: &System) -> u64 {
    let engines = system.engines.iter().flatten();
    let stats = engines.map(FakeEngine::stats);
    stats.map(|s| s.completed + s.cancelled + s.cut).sum()
}

/// Sends a completion request on a connection of its own, whose kernel buffer is small.
async fn send_without_reading(system: &System, chat: &ChatRequest) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let connecting = socket.connect(system.entry(0).caller);
    let mut stream = connecting.await.expect("a connection");
    let body = serde_json::to_string(chat).expect("JSON");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-type: application/json\r\n\
         authorization: Bearer {DESK_KEY}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let sent = stream.write_all((head + &body).as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Guards against an entry host that runs out of memory by the texts of completions that callers
/// get as a whole.
#[tokio::test(flavor = "multi_thread")]
async fn long_whole_completions_stay_within_the_memory_limit() {
    let system = system_with_long_pieces().await;

    let mut chat = ChatRequest::user("summary", "long");
    chat.stream = false;
    chat.max_tokens = PIECES;
    let cfg = ClientConfig {
        max_body: 2 * PIECES as usize * PIECE_BYTES,
        ..ClientConfig::default()
    };
    let callers = HttpClient::new(&cfg);

    let calls = (0..COMPLETIONS).map(|_| {
        let req = system.chat_request(0, &chat);
        callers.send_buffered(req, TIMEOUT)
    });
    let answers = join_all(calls).await;

    for answer in answers {
        let (status, _) = answer.expect("an answer");
        let allowed = [StatusCode::OK, StatusCode::BAD_GATEWAY];
        assert!(allowed.contains(&status), "{status}");
    }
    let peak = system.entries[0].peak_memory();
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
    set_piece_bytes(&system, 0);
    assert_eq!(
        system.chat_until_ok(0, "short", 4).await,
        expected("short", 4)
    );
}

/// Guards against an entry host that runs out of memory by the events for callers that do not
/// read them.
#[tokio::test(flavor = "multi_thread")]
async fn long_events_for_callers_that_do_not_read_stay_within_the_memory_limit() {
    let system = system_with_long_pieces().await;
    let mut chat = ChatRequest::user("summary", "long");
    chat.max_tokens = PIECES;
    let ended_before = ended_completions(&system);

    let callers = (0..COMPLETIONS).map(|_| send_without_reading(&system, &chat));
    let unread = join_all(callers).await;
    until("the end of all completions", || async {
        (ended_completions(&system) - ended_before >= COMPLETIONS as u64).then_some(())
    })
    .await;

    let peak = system.entries[0].peak_memory();
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
    drop(unread);
    set_piece_bytes(&system, 0);
    assert_eq!(
        system.chat_until_ok(0, "short", 4).await,
        expected("short", 4)
    );
}
