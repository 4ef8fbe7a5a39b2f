//! Tests that calls of a service run at most once while hosts, the service and the platform
//! fail.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geranium_fakes::platform::PlatformFault;
use geranium_fakes::service::ServiceFault;
use hyper::StatusCode;

use geranium_fakes::system::until;
use geranium_fakes::system::{DomainSize, System};

use crate::GERANIUMD;

const TWO_DOMAINS: [DomainSize; 2] = [
    DomainSize::new("lima-1", 1, 0),
    DomainSize::new("lima-2", 1, 0),
];

async fn system() -> System {
    let system = System::start(GERANIUMD, &TWO_DOMAINS, |_| {}).await;
    system.apply_service().await;
    system
}

fn executions(system: &System, key: &str) -> u64 {
    system
        .service
        .stats()
        .executions
        .get(key)
        .copied()
        .unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn resend_to_another_host_gets_the_kept_answer() {
    let system = system().await;

    let first = system.ban(0, "k1").await.expect("an answer");
    let second = system.ban(1, "k1").await.expect("an answer");

    assert_eq!(first.0, StatusCode::OK);
    assert_eq!(first, second);
    assert_eq!(executions(&system, "k1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_used_for_another_request_is_refused() {
    let system = system().await;
    system.ban(0, "k2").await.expect("an answer");

    let other = system.ban_request(1, "k2", "{\"reader\":\"somebody else\"}");
    let (status, _) = system
        .http
        .send_buffered(other, Duration::from_secs(10))
        .await
        .expect("answer");

    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(executions(&system, "k2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_the_call_is_not_run_and_said_so() {
    let system = system().await;
    let down = PlatformFault {
        unavailable: Some(true),
        ..PlatformFault::default()
    };
    system.platform.set_fault(&down);

    let (status, body) = system.ban(0, "k3").await.expect("an answer");
    let up = PlatformFault {
        unavailable: Some(false),
        ..PlatformFault::default()
    };
    system.platform.set_fault(&up);

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["error"]["type"], "not_run");
    assert_eq!(body["error"]["ran"], false);
    assert!(body["error"]["retry_after_ms"].as_u64().expect("a time") > 0);
    assert_eq!(executions(&system, "k3"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_lost_behind_the_service_is_unknown_and_never_run_again() {
    let system = system().await;
    system.service.set_fault(ServiceFault {
        drop_answers: Some(1),
        ..ServiceFault::default()
    });

    let first = system.ban(0, "k4").await.expect("an answer");
    let second = system.ban(1, "k4").await.expect("an answer");

    assert_eq!(first.1["error"]["type"], "outcome_unknown");
    assert_eq!(second.1["error"]["type"], "outcome_unknown");
    assert_eq!(executions(&system, "k4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_leaves_an_unknown_outcome_that_is_never_run_again() {
    let mut system = system().await;
    let slow = ServiceFault {
        delay_after_ms: Some(3_000),
        ..ServiceFault::default()
    };
    system.service.set_fault(slow);
    let req = system.ban_request(0, "k5", "{\"reader\":\"r1\"}");
    let http = system.http.clone();
    let call = tokio::spawn(async move { http.send_buffered(req, Duration::from_secs(20)).await });
    until("the execution", || async {
        (executions(&system, "k5") == 1).then_some(())
    })
    .await;

    system.entries[0].kill();
    let first = call.await.expect("the call ends");
    let resent = until("a definite answer", || async {
        let (_, body) = system.ban(1, "k5").await.ok()?;
        (body["error"]["type"] == "outcome_unknown").then_some(body)
    })
    .await;

    assert!(first.is_err());
    assert_eq!(resent["error"]["type"], "outcome_unknown");
    assert_eq!(executions(&system, "k5"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_before_the_claim_reports_that_an_earlier_attempt_may_have_run() {
    let system = system().await;
    system.ban(0, "k6").await.expect("an answer");
    let body = "{\"reader\":\"r1\"}";
    let late = system
        .ban_request(1, "k6", body)
        .header_text("x-deadline-ms", "0")
        .expect("a request");
    let unknown = system
        .ban_request(1, "k6", body)
        .header_text("x-request-id", "")
        .expect("a request");
    let reused = system.ban_request(1, "k6", "{\"reader\":\"somebody else\"}");

    for req in [late, unknown, reused] {
        let (status, body) = system
            .http
            .send_buffered(req, Duration::from_secs(10))
            .await
            .expect("an answer");
        let refusal = geranium_net::ApiError::parse(status, &body).expect("a typed refusal");
        assert_eq!(refusal.ran, Some(false), "{refusal:?}");
        assert_eq!(
            refusal.earlier_attempt_may_have_run,
            Some(true),
            "{refusal:?}"
        );
    }
    assert_eq!(executions(&system, "k6"), 1);
}

/// Waits until an entry host exits after a stop signal; returns its exit code.
async fn wait_for_exit(system: &mut System, entry: usize) -> i32 {
    let entry = &mut system.entries[entry];
    until("the end of the process", || {
        let code = entry.exit_code();
        async move { code }
    })
    .await
}

/// Starts a call and waits until the service, which delays its answer, has executed it.
async fn call_in_progress(
    system: &System,
    key: &str,
    delay_ms: u64,
) -> tokio::task::JoinHandle<Option<StatusCode>> {
    system.service.set_fault(ServiceFault {
        delay_after_ms: Some(delay_ms),
        ..ServiceFault::default()
    });
    let req = system.ban_request(0, key, "{\"reader\":\"r1\"}");
    let http = system.http.clone();
    let call = tokio::spawn(async move {
        let answer = http.send_buffered(req, Duration::from_secs(20)).await;
        answer.ok().map(|(status, _)| status)
    });
    until("the execution", || async {
        (executions(system, key) == 1).then_some(())
    })
    .await;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_keeps_the_answer_of_a_call_whose_caller_left() {
    let mut system = system().await;
    let call = call_in_progress(&system, "k7", 1_500).await;

    call.abort();
    system.entries[0].terminate();
    let code = wait_for_exit(&mut system, 0).await;
    let resent = system.ban(1, "k7").await.expect("an answer");

    assert_eq!(code, 0);
    assert_eq!(resent.0, StatusCode::OK, "{}", resent.1);
    assert_eq!(executions(&system, "k7"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_waits_until_the_answer_is_stored() {
    let mut system = system().await;
    let call = call_in_progress(&system, "k8", 1_500).await;
    let slow = |millis| PlatformFault {
        delay_ms: Some(millis),
        ..PlatformFault::default()
    };

    system.platform.set_fault(&slow(1_000));
    system.entries[0].terminate();
    let first = call.await.expect("the call ends");
    let code = wait_for_exit(&mut system, 0).await;
    system.platform.set_fault(&slow(0));
    let resent = system.ban(1, "k8").await.expect("an answer");

    assert_eq!((first, code), (Some(StatusCode::OK), 0));
    assert_eq!(resent.0, StatusCode::OK, "{}", resent.1);
    assert_eq!(executions(&system, "k8"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_during_its_planned_stop_leaves_an_unknown_outcome() {
    let mut system = system().await;
    let call = call_in_progress(&system, "k9", 20_000).await;

    system.entries[0].terminate();
    until("the news that the host leaves", || async {
        let at = system.entry(1).operator;
        let hosts = system.operator.status(at).await.ok()?.hosts;
        let leaving = |host: &geranium_operator::HostView| host.state == "leaving";
        hosts.iter().any(leaving).then_some(())
    })
    .await;
    system.entries[0].kill();
    let resent = until("a definite answer", || async {
        let (_, body) = system.ban(1, "k9").await.ok()?;
        (body["error"]["type"] == "outcome_unknown").then_some(body)
    })
    .await;

    assert_eq!(call.await.expect("the call ends"), None);
    assert!(resent["error"]["ran"].is_null());
    assert_eq!(executions(&system, "k9"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_service_on_a_leaving_host_gets_no_new_work() {
    let system = system().await;
    system.ban(0, "k-before").await.expect("an answer");
    let entry = serde_json::json!({
        "host": "svc-1", "failure_domain": "lima-1", "fabric_domain": "lima-1-f0",
        "address": system.service.address().to_string(), "accelerators": 0,
        "checks_fencing": false, "state": "leaving",
    });

    system
        .platform
        .put("/platform/hosts/svc-1", entry.to_string());

    let probes = AtomicU64::new(0);
    until("a call that is not run", || async {
        let probe = probes.fetch_add(1, Ordering::Relaxed);
        let (_, body) = system.ban(0, &format!("k-probe-{probe}")).await.ok()?;
        (body["error"]["type"] == "not_run").then_some(())
    })
    .await;
    let (status, body) = system.ban(0, "k-after").await.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["error"]["ran"], false);
    assert_eq!(executions(&system, "k-after"), 0);
}
