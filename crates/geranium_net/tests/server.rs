//! Tests of the server's limits from the caller's side.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_net::{
    ApiError, ClientConfig, HttpClient, HttpRequest, HttpServer, ServerConfig, read_body,
    read_body_with_timeout,
};
use hyper::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::sync::CancellationToken;
use viz::{IntoResponse, Request, Response, Result, Router};

const LIMIT: usize = 64 << 10;

async fn echo_length(mut req: Request) -> Result<Response> {
    let body = read_body(&mut req, LIMIT).await?;
    Ok(body.len().to_string().into_response())
}

async fn echo_length_with_timeout(mut req: Request) -> Result<Response> {
    let body = read_body_with_timeout(&mut req, LIMIT, Duration::from_millis(200)).await?;
    Ok(body.len().to_string().into_response())
}

async fn serve() -> (SocketAddr, CancellationToken) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any, ServerConfig::default())
        .await
        .expect("bound");
    let address = server.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let router = Router::new()
        .post("/", echo_length)
        .post("/with-timeout", echo_length_with_timeout);
    tokio::spawn(server.run(router, stop.clone()));
    (address, stop)
}

#[tokio::test(flavor = "multi_thread")]
async fn oversize_body_receives_the_error_response() {
    let (address, _stop) = serve().await;
    let client = HttpClient::new(&ClientConfig::default());
    let body = Bytes::from(vec![b'x'; 8 << 20]);

    for _ in 0..20 {
        let req = HttpRequest::post(address, "/").body(body.clone());
        let answer = client.send_buffered(req, Duration::from_secs(20)).await;
        let (status, body) = answer.expect("an answer");
        let error = ApiError::parse(status, &body).expect("a typed refusal");
        assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(error.kind, "oversize_body");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_at_the_limit_is_accepted() {
    let (address, _stop) = serve().await;
    let client = HttpClient::new(&ClientConfig::default());
    let req = HttpRequest::post(address, "/").body(Bytes::from(vec![b'x'; LIMIT]));

    let (status, body) = client
        .send_buffered(req, Duration::from_secs(20))
        .await
        .expect("an answer");

    assert_eq!(status, StatusCode::OK);
    assert_eq!(body, LIMIT.to_string());
}

#[tokio::test]
async fn bind_to_an_address_in_use_returns_a_typed_error() {
    let (address, _stop) = serve().await;

    let second = HttpServer::bind(address, ServerConfig::default()).await;

    let e = second.err().expect("refused");
    assert!(
        e.to_string()
            .starts_with(&format!("cannot listen on {address}"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_body_is_rejected_after_the_timeout() {
    let (address, _stop) = serve().await;
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    let head = b"POST /with-timeout HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf a body";
    stream.write_all(head).await.expect("written");

    let mut answer = vec![0; 512];
    let len = stream.read(&mut answer).await.expect("an answer");

    let answer = String::from_utf8_lossy(&answer[..len]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}
