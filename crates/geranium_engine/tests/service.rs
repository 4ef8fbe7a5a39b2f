//! Calls to plain services.

use std::time::Duration;

use bytes::Bytes;
use geranium_engine::prelude::*;
use geranium_fakes::fixture::wait_for_connect;
use geranium_fakes::http::GateState;
use geranium_fakes::service::ServiceFault;
use geranium_fakes::{FakeService, ServiceConfig};
use geranium_net::ClientConfig;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue, SERVER};
use hyper::{Method, StatusCode};

const TIMEOUT: Duration = Duration::from_secs(60);

async fn service() -> FakeService {
    FakeService::start(ServiceConfig::default())
        .await
        .expect("listening on the loopback interface")
}

fn client() -> ServiceClient {
    ServiceClient::new(&ClientConfig::default())
}

fn call(service: &FakeService, key: &'static str) -> ServiceCall {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static(key));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(AUTHORIZATION, HeaderValue::from_static("Bearer secret"));
    ServiceCall {
        address: service.address(),
        method: Method::POST,
        path: "/receipts?funder=7".to_owned(),
        headers,
        body: Bytes::from_static(b"receipt"),
    }
}

#[tokio::test]
async fn a_call_reaches_the_service_once_and_its_complete_response_is_returned() {
    let service = service().await;

    let answer = client()
        .call(call(&service, "k1"), TIMEOUT)
        .await
        .expect("the service responds");

    let echo: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.headers[CONTENT_TYPE], "application/json");
    assert!(!answer.headers.contains_key(SERVER));
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["path"], "/receipts?funder=7");
    assert_eq!(echo["body"], "receipt");
    assert_eq!(service.stats().executions["k1"], 1);
}

#[tokio::test]
async fn the_service_runs_a_repeated_call_again_and_counts_it() {
    let service = service().await;
    let client = client();

    for _ in 0..2 {
        client
            .call(call(&service, "k1"), TIMEOUT)
            .await
            .expect("the service responds");
    }

    assert_eq!(service.stats().executions["k1"], 2);
}

#[tokio::test]
async fn the_status_of_the_service_is_forwarded() {
    let service = service().await;
    service.set_fault(ServiceFault {
        status: Some(422),
        ..ServiceFault::default()
    });

    let answer = client()
        .call(call(&service, "k1"), TIMEOUT)
        .await
        .expect("the service responds");

    assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
}

#[tokio::test]
async fn a_call_whose_response_is_lost_has_an_unknown_outcome_and_is_not_sent_again() {
    let service = service().await;
    let client = client();
    client
        .call(call(&service, "warm-up"), TIMEOUT)
        .await
        .expect("the service responds");
    service.set_fault(ServiceFault {
        drop_answers: Some(1),
        ..ServiceFault::default()
    });

    let outcome = client.call(call(&service, "k1"), TIMEOUT).await;

    assert!(matches!(outcome, Err(ServiceError::OutcomeUnknown(_))));
    assert_eq!(service.stats().executions["k1"], 1);
    assert_eq!(service.stats().received, 2);
}

#[tokio::test]
async fn a_call_received_but_not_executed_has_an_unknown_outcome() {
    let service = service().await;
    service.set_fault(ServiceFault {
        drop_calls: Some(1),
        ..ServiceFault::default()
    });

    let outcome = client().call(call(&service, "k1"), TIMEOUT).await;

    assert!(matches!(outcome, Err(ServiceError::OutcomeUnknown(_))));
    assert_eq!(service.stats().executed, 0);
    assert_eq!(service.stats().received, 1);
}

#[tokio::test]
async fn a_response_after_the_timeout_leaves_the_outcome_unknown() {
    let service = service().await;
    let client = client();
    client
        .call(call(&service, "warm-up"), TIMEOUT)
        .await
        .expect("the service responds");
    service.set_fault(ServiceFault {
        delay_after_ms: Some(3_600_000),
        ..ServiceFault::default()
    });

    let outcome = client
        .call(call(&service, "k1"), Duration::from_millis(50))
        .await;

    assert!(matches!(outcome, Err(ServiceError::OutcomeUnknown(_))));
}

#[tokio::test]
async fn a_refused_connection_means_that_the_call_was_not_sent() {
    let service = service().await;
    service.set_fault(ServiceFault {
        connections: Some(GateState::Refuse),
        ..ServiceFault::default()
    });
    wait_for_connect(service.address(), false).await;

    let outcome = client().call(call(&service, "k1"), TIMEOUT).await;

    assert!(matches!(outcome, Err(ServiceError::NotSent(_))));
    assert_eq!(service.stats().received, 0);
}
