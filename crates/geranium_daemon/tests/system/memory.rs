//! Tests the memory of an entry host while backend servers send much that no caller takes.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use geranium_fakes::system::{DESK_KEY, DomainSize, System, account, until};
use geranium_net::HttpRequest;
use hyper::StatusCode;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::GERANIUMD;

/// Concurrent calls of a service that never completes its answers.
const CALLS: usize = 120;
/// Bytes that the service sends of each answer, just under the most of one answer.
const SENT_BYTES: usize = 4_000_000;
/// Memory that the entry host may use at most: its limit for answers, and as much for all else.
const MEMORY_BYTES: u64 = 2 * (128 << 20);
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
