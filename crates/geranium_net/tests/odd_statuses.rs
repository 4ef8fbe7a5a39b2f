//! A response whose status is none of the protocol's is an error.

use std::net::SocketAddr;
use std::time::Duration;

use geranium_net::{ClientConfig, ClientError, HttpClient, HttpRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers one request with a status.
async fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("address is known");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            // The client may have closed the connection.
            let _ = stream.read(&mut buf).await;
            let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against MIXED: a status that the protocol does not have is taken for an answer.
#[tokio::test]
async fn a_response_with_an_odd_status_is_an_error_that_may_have_run() {
    for status in ["000", "099", "600", "999"] {
        let address = start_server(status).await;
        let client = HttpClient::new(&ClientConfig::default());

        let result = client
            .send_buffered(HttpRequest::post(address, "/"), TIMEOUT)
            .await;

        assert!(
            result
                .as_ref()
                .is_err_and(|e: &ClientError| !e.is_not_sent()),
            "{status}: {result:?}"
        );
    }
}
