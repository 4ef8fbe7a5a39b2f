//! Tests against a server that closes an idle connection just as the client reuses it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use geranium_net::{ClientConfig, HttpClient, HttpRequest};
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Starts a server that answers the first request of each connection and closes the
/// connection when the second one arrives. Returns its address and the request counter.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("address is known");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_once(stream, counter.clone()));
        }
    });
    (address, requests)
}

async fn answer_once(mut stream: TcpStream, requests: Arc<AtomicUsize>) {
    let mut buf = [0; 4_096];
    for answered in [true, false] {
        let read = stream.read(&mut buf).await;
        if !read.is_ok_and(|n| n > 0) {
            return;
        }
        requests.fetch_add(1, Ordering::Relaxed);
        if answered {
            stream
                .write_all(ANSWER)
                .await
                .expect("the client is connected");
        }
    }
}

/// Returns a client with an idle connection to such a server, the server's address and
/// the request counter.
async fn client_with_idle_connection() -> (HttpClient, SocketAddr, Arc<AtomicUsize>) {
    let (address, requests) = start_server().await;
    let client = HttpClient::new(&ClientConfig::default());
    let first = client.send_buffered(HttpRequest::get(address, "/"), TIMEOUT);
    first.await.expect("the first request is answered");
    (client, address, requests)
}

#[tokio::test]
async fn get_is_retried_on_a_new_connection() {
    let (client, address, requests) = client_with_idle_connection().await;

    let second = client
        .send_buffered(HttpRequest::get(address, "/"), TIMEOUT)
        .await;

    assert_eq!(second.expect("the retry is answered").0, StatusCode::OK);
    assert_eq!(requests.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn post_is_not_retried() {
    let (client, address, requests) = client_with_idle_connection().await;

    let write = HttpRequest::new(address, Method::POST, "/");
    let second = client.send_buffered(write, TIMEOUT).await;

    let error = second.expect_err("the outcome is unknown");
    assert!(!error.is_not_sent());
    assert_eq!(requests.load(Ordering::Relaxed), 2);
}
