//! Request outcomes while a failure domain is drained and restored, and while a group fails.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use geranium_fakes::engine::EngineFault;
use geranium_fakes::system::{DomainSize, System, content, expected};
use geranium_net::ApiError;
use geranium_operator::ApplyRequest;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::measure_error::MeasureError;
use crate::report::Report;

/// Concurrent requests: 80% of the capacity of two groups that run 32 requests each.
const WORKERS: usize = 51;

/// Tokens generated per request.
const TOKENS_PER_REQUEST: u32 = 50;

/// Duration of each phase.
const PHASE_TIME: Duration = Duration::from_secs(4);

/// Number of requests by outcome.
type OutcomeCounts = BTreeMap<String, u32>;

/// Measures the drain, the return and the group failure under 80% load.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let system = Arc::new(start_system(geraniumd).await);
    print_outcomes(report, "both domains in", &run_load_phase(&system).await);
    let drain_record = json!({
        "schema_version": 2, "kind": "drain", "name": "domain-lima-1",
        "target": {"failure_domain": "lima-1"}, "reason": "measure",
    });
    let (outcomes, ()) = tokio::join!(
        run_load_phase(&system),
        after_a_second(system.apply(&drain_record))
    );
    print_outcomes(report, "one domain leaves", &outcomes);
    let (outcomes, ()) = tokio::join!(
        run_load_phase(&system),
        after_a_second(remove_drain(&system))
    );
    print_outcomes(report, "it returns", &outcomes);
    let fail_engine = async {
        let fault = EngineFault {
            fail_over: true,
            ..EngineFault::default()
        };
        system.engine(0).set_fault(&fault);
    };
    let (outcomes, ()) = tokio::join!(run_load_phase(&system), after_a_second(fail_engine));
    print_outcomes(report, "a group dies", &outcomes);
    Ok(())
}

async fn start_system(geraniumd: &Path) -> System {
    let size = |name| DomainSize {
        name,
        entry_hosts: 2,
        engines: 2,
    };
    let system = System::start(geraniumd, &[size("lima-1"), size("lima-2")], |cfg| {
        cfg.warm_after = 1;
        cfg.token_time = Duration::from_millis(4);
    })
    .await;
    system.apply_model(&[("lima-1", 1), ("lima-2", 1)], 2).await;
    for domain in ["lima-1", "lima-2"] {
        system.wait_serving(domain, 1).await;
    }
    for entry in [0, 2] {
        system.chat_until_ok(entry, "first", 2).await;
    }
    system
}

async fn after_a_second(change: impl Future<Output = ()>) {
    tokio::time::sleep(Duration::from_secs(1)).await;
    change.await;
}

/// Deletes the drain record, so that the failure domain returns to service.
async fn remove_drain(system: &System) {
    let req = ApplyRequest {
        document: Value::Null,
        expected_generation: None,
        operator: "measure".to_owned(),
    };
    let at = system.entry(0).operator;
    if let Err(e) = system
        .operator
        .apply(at, "drain", "domain-lima-1", &req)
        .await
    {
        println!("figure  failed to delete the drain record: {e}");
    }
}

/// Sends requests through all entry hosts for the duration of one phase.
async fn run_load_phase(system: &Arc<System>) -> OutcomeCounts {
    let end = Instant::now() + PHASE_TIME;
    let workers =
        (0..WORKERS).map(|worker| tokio::spawn(send_requests(system.clone(), worker, end)));
    let mut all = OutcomeCounts::new();
    for outcomes in join_all(workers).await.into_iter().flatten() {
        for (name, count) in outcomes {
            *all.entry(name).or_default() += count;
        }
    }
    all
}

async fn send_requests(system: Arc<System>, worker: usize, end: Instant) -> OutcomeCounts {
    let mut outcomes = OutcomeCounts::new();
    let mut round = 0_u64;
    while Instant::now() < end {
        round += 1;
        let prompt = format!("worker {worker} round {round}");
        let entry = worker % system.entries.len();
        let name = match system.chat(entry, &prompt, TOKENS_PER_REQUEST).await {
            Ok((StatusCode::OK, body))
                if content(&body) == expected(&prompt, TOKENS_PER_REQUEST) =>
            {
                "answered".to_owned()
            }
            Ok((StatusCode::OK, _)) => "WRONG ANSWER".to_owned(),
            Ok((status, body)) => match ApiError::parse(status, &body) {
                Some(e) => {
                    // Honors the retry delay of the refusal, but waits at most one second.
                    let wait = Duration::from_millis(e.retry_after_ms.unwrap_or_default());
                    tokio::time::sleep(wait.min(Duration::from_secs(1))).await;
                    format!("refused as {}", e.kind)
                }
                None => format!("status {status}"),
            },
            Err(_) => "lost".to_owned(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    outcomes
}

fn print_outcomes(report: &mut Report, phase: &str, outcomes: &OutcomeCounts) {
    for (name, count) in outcomes {
        report.print_figure(
            &format!("{phase}: {name}"),
            f64::from(*count),
            "requests in 4 s",
        );
    }
}
