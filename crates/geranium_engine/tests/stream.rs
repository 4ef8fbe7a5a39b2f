//! The stream of a completion, read from hand-written responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use geranium_core::id::{FencingNumber, GroupId, RequestId};
use geranium_engine::SseError;
use geranium_engine::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Serves one connection with a response whose body ends when the connection
/// closes.
async fn serve_once(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listening on the loopback interface");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).await;
        let answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.expect("written");
    });
    address
}

async fn events(body: &'static str) -> Vec<Result<CompletionEvent, EngineError>> {
    let address = serve_once(body).await;
    let req = CompletionRequest {
        request: RequestId::new("r"),
        group: GroupId::new("g"),
        fencing: FencingNumber(1),
        priority: 0,
        remaining: Duration::from_secs(60),
        body: Bytes::from_static(b"{}"),
        resume: None,
    };
    let client = HttpEngineClient::new(EngineClientConfig::default());
    let stream = client.stream_completion(address, &req).await;
    stream
        .expect("the engine accepts the completion")
        .collect()
        .await
}

fn piece(index: u64, data: &'static str) -> Result<CompletionEvent, EngineError> {
    let data = Bytes::from_static(data.as_bytes());
    Ok(CompletionEvent::Piece(CompletionPiece { index, data }))
}

#[tokio::test]
async fn pieces_are_returned_as_sent_even_if_out_of_order() {
    let events = events("id: 1\ndata: b\n\nid: 0\ndata: a\n\ndata: [DONE]\n\n").await;

    assert_eq!(
        events,
        [piece(1, "b"), piece(0, "a"), Ok(CompletionEvent::Done)]
    );
}

#[tokio::test]
async fn nothing_is_read_after_the_end_marker() {
    let events = events("data: [DONE]\n\nid: 0\ndata: a\n\n").await;

    assert_eq!(events, [Ok(CompletionEvent::Done)]);
}

#[tokio::test]
async fn a_clean_close_without_the_end_marker_is_a_truncation() {
    let events = events("id: 0\ndata: a\n\n").await;

    assert_eq!(events[0], piece(0, "a"));
    assert!(matches!(
        events[1..],
        [Err(EngineError::StreamTruncated(..))]
    ));
}

#[tokio::test]
async fn an_incomplete_end_marker_is_a_truncation() {
    for body in ["data: [DONE]\n", "data: [DONE]", "data: [DO"] {
        let events = events(body).await;
        assert!(
            matches!(events[..], [Err(EngineError::StreamTruncated(..))]),
            "{body:?}"
        );
    }
}

#[tokio::test]
async fn a_piece_without_an_index_violates_the_protocol() {
    let events = events("data: a\n\ndata: [DONE]\n\n").await;

    let [Err(EngineError::MalformedStream(_, e))] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(*e, SseError::MissingId);
}

#[tokio::test]
async fn an_error_event_ends_the_stream_with_its_type_and_message() {
    let events = events(
        "id: 0\ndata: a\n\nevent: error\ndata: {\"error\":{\"type\":\"overloaded\",\
         \"message\":\"too much\"}}\n\ndata: [DONE]\n\n",
    )
    .await;

    let [_, Err(EngineError::StreamFailed(_, kind, message))] = &events[..] else {
        panic!("{events:?}");
    };
    assert_eq!(
        (kind.as_str(), message.as_str()),
        ("overloaded", "too much")
    );
}
