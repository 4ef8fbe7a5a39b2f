//! Responses of plain services that stop at any of their bytes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_engine::prelude::*;
use geranium_net::ClientConfig;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(60);
/// Body of a whole response.
const BODY: &str = "the whole response";

/// How a response shows where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

impl Framing {
    const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Connection];

    fn head(self) -> String {
        let headers = match self {
            Self::Length => format!("content-length: {}\r\n", BODY.len()),
            Self::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Connection => String::new(),
        };
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n{headers}\r\n")
    }

    fn body(self) -> String {
        match self {
            Self::Length | Self::Connection => BODY.to_owned(),
            Self::Chunks => format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len()),
        }
    }

    /// Returns whether a response that stops there may be a whole one with a shorter body.
    fn is_complete(self, sent: usize) -> bool {
        match self {
            Self::Length | Self::Chunks => sent == self.head().len() + self.body().len(),
            Self::Connection => sent > self.head().len(),
        }
    }
}

/// Starts a service that answers one call with these bytes and closes the connection.
async fn start_service(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(&response).await;
    });
    address
}

fn call(address: SocketAddr) -> ServiceCall {
    ServiceCall {
        address,
        method: Method::POST,
        path: "/receipts".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

/// Guards against a short or empty answer with status 200 that looks whole (MIXED): the service
/// stopped in the middle of its response.
#[tokio::test]
async fn a_response_that_stops_early_is_not_taken_for_a_whole_one() {
    let client = ServiceClient::new(&ClientConfig::default());
    for framing in Framing::ALL {
        let whole = framing.head() + &framing.body();
        for sent in 0..=whole.len() {
            let service = start_service(whole.as_bytes()[..sent].to_vec()).await;

            let outcome = client.call(call(service), TIMEOUT).await;

            if framing.is_complete(sent) {
                let response = outcome.expect("the response is whole");
                assert_eq!(response.status, StatusCode::OK, "{framing:?}, {sent} bytes");
            } else {
                let is_unknown = matches!(outcome, Err(ServiceError::OutcomeUnknown(_)));
                assert!(is_unknown, "{framing:?}, {sent} bytes: {outcome:?}");
            }
        }
    }
}
