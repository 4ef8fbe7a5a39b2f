//! Tests the operator interface: token, health, typed errors and metrics.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geranium_fakes::system::{DomainSize, OPERATOR_TOKEN, System, account, until};
use geranium_net::HttpRequest;
use hyper::{Method, StatusCode};
use serde_json::Value;

use crate::GERANIUMD;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

const ONE_DOMAIN: [DomainSize; 1] = [DomainSize::new("lima-1", 1, 2)];

async fn send(system: &System, req: HttpRequest) -> (StatusCode, Bytes) {
    let answer = system.http.send_buffered(req, CALL_TIMEOUT).await;
    answer.expect("an answer")
}

async fn get(system: &System, at: SocketAddr, path: &str) -> (StatusCode, Bytes) {
    send(system, HttpRequest::new(at, Method::GET, path)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_without_the_token_gets_the_same_refusal() {
    let system = System::start(GERANIUMD, &ONE_DOMAIN, |_| {}).await;
    let at = system.entry(0).operator;
    let calls = [
        (Method::GET, "/v1/records"),
        (Method::GET, "/v1/records/model/summary"),
        (Method::PUT, "/v1/records/model/summary"),
        (Method::GET, "/v1/history/model/summary"),
        (Method::GET, "/v1/in-force/model/summary"),
        (Method::POST, "/v1/validate"),
        (Method::GET, "/v1/status"),
        (Method::GET, "/v1/events"),
        (Method::GET, "/v1/explain/host/lima-1-h0"),
    ];
    let wrong = [
        None,
        Some("Bearer ".to_owned()),
        Some("Bearer wrong-operator-token".to_owned()),
        Some(format!("Bearer {OPERATOR_TOKEN}x")),
        Some(format!("Basic {OPERATOR_TOKEN}")),
    ];

    for (method, path) in &calls {
        for header in &wrong {
            let mut req = HttpRequest::new(at, method.clone(), *path);
            if let Some(header) = header {
                req = req.header_text("authorization", header).expect("text");
            }
            let (status, body) = send(&system, req).await;

            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path}");
            let text = String::from_utf8_lossy(&body);
            assert!(text.contains("invalid_operator_token"), "{text}");
            assert!(!text.contains(OPERATOR_TOKEN) && !text.contains("wrong-operator"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn health_needs_no_token_and_call_errors_are_typed() {
    let system = System::start(GERANIUMD, &ONE_DOMAIN, |_| {}).await;
    let at = system.entry(0).operator;
    let bearer = format!("Bearer {OPERATOR_TOKEN}");

    let early = get(&system, at, "/readyz").await;
    system.apply(&account()).await;
    until("a ready host", || async {
        let (status, _) = get(&system, at, "/readyz").await;
        (status == StatusCode::OK).then_some(())
    })
    .await;
    let health = get(&system, at, "/healthz").await;

    assert_eq!(early.0, StatusCode::SERVICE_UNAVAILABLE, "without records");
    assert_eq!(health, (StatusCode::OK, Bytes::from_static(b"ok\n")));
    for (path, status, kind) in [
        ("/v1/records?kind=odd", 400, "invalid_query"),
        ("/v1/records/odd/x", 400, "invalid_key"),
        ("/v1/records/model/none", 404, "not_found"),
        ("/v1/events?kind=odd", 400, "invalid_query"),
        ("/v1/events?since=soon", 400, "invalid_query"),
        ("/v1/explain/rack/r1", 400, "invalid_path"),
        ("/v1/explain/group/none", 404, "not_found"),
    ] {
        let req = HttpRequest::new(at, Method::GET, path);
        let req = req.header_text("authorization", &bearer).expect("text");
        let (got, body) = send(&system, req).await;
        assert_eq!(got.as_u16(), status, "{path}");
        let body: Value = serde_json::from_slice(&body).expect("JSON");
        assert!(body.to_string().contains(kind), "{path}: {body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_parse_and_label_sets_do_not_grow_with_caller_input() {
    let system = System::start(GERANIUMD, &ONE_DOMAIN, |_| {}).await;
    let at = system.entry(0).operator;
    system.apply_model(&[("lima-1", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.apply_service().await;
    call_everything(&system, 0).await;
    let before = label_sets(&metrics(&system, at).await);

    for round in 1..20 {
        call_everything(&system, round).await;
    }

    let text = metrics(&system, at).await;
    let after = label_sets(&text);
    assert_eq!(before, after);
    for name in [
        "geranium_requests_total",
        "geranium_group_downtime_milliseconds",
    ] {
        assert!(text.contains(name), "{name} is not in {text}");
    }
    assert!(text.ends_with("# EOF\n"), "{text}");
}

/// Sends calls with names that are new in each round.
async fn call_everything(system: &System, round: u32) {
    system.chat_until_ok(0, &format!("prompt {round}"), 2).await;
    let _ = system.ban(0, &format!("ban-{round}")).await;
    let caller = system.entry(0).caller;
    for path in [
        format!("/v1/services/none-{round}/bans"),
        format!("/none-{round}"),
    ] {
        let req = HttpRequest::post(caller, path)
            .header_text("authorization", &format!("Bearer none-{round}"))
            .expect("text");
        let _ = system.http.send_buffered(req, CALL_TIMEOUT).await;
    }
}

async fn metrics(system: &System, at: SocketAddr) -> String {
    let (status, body) = get(system, at, "/metrics").await;
    assert_eq!(status, StatusCode::OK);
    String::from_utf8(body.to_vec()).expect("UTF-8")
}

/// Parses each sample and returns their names with labels.
fn label_sets(text: &str) -> BTreeSet<String> {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let parsed = samples.map(|line| {
        let (name, value) = line.rsplit_once(' ').expect("name and value");
        let value: f64 = value.parse().expect("a number");
        assert!(value.is_finite() && name.starts_with("geranium_"), "{line}");
        name.to_owned()
    });
    parsed.collect()
}
