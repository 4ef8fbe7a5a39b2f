//! Service while a failure domain leaves and returns, and while a group dies.

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

/// Requests at a time: 80% of two groups that bear 32 each.
const WORKERS: usize = 51;

/// Tokens of one request.
const TOKENS: u32 = 50;

/// Time of each phase.
const PHASE: Duration = Duration::from_secs(4);

/// Answers by outcome.
type Outcomes = BTreeMap<String, u32>;

/// Measures both under 80% load.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let system = Arc::new(start(geraniumd).await);
    print(report, "both domains in", &load(&system).await);
    let out = json!({
        "schema_version": 2, "kind": "drain", "name": "domain-lima-1",
        "target": {"failure_domain": "lima-1"}, "reason": "measure",
    });
    let (outcomes, ()) = tokio::join!(load(&system), after_a_second(system.apply(&out)));
    print(report, "one domain leaves", &outcomes);
    let (outcomes, ()) = tokio::join!(load(&system), after_a_second(undrain(&system)));
    print(report, "it returns", &outcomes);
    let die = async {
        let fault = EngineFault {
            fail_over: true,
            ..EngineFault::default()
        };
        system.engine(0).set_fault(&fault);
    };
    let (outcomes, ()) = tokio::join!(load(&system), after_a_second(die));
    print(report, "a group dies", &outcomes);
    Ok(())
}

async fn start(geraniumd: &Path) -> System {
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

async fn undrain(system: &System) {
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
        println!("figure  the drain could not be taken back: {e}");
    }
}

/// Sends requests over all entry hosts for one phase.
async fn load(system: &Arc<System>) -> Outcomes {
    let end = Instant::now() + PHASE;
    let workers = (0..WORKERS).map(|worker| tokio::spawn(work(system.clone(), worker, end)));
    let mut all = Outcomes::new();
    for outcomes in join_all(workers).await.into_iter().flatten() {
        for (name, count) in outcomes {
            *all.entry(name).or_default() += count;
        }
    }
    all
}

async fn work(system: Arc<System>, worker: usize, end: Instant) -> Outcomes {
    let mut outcomes = Outcomes::new();
    let mut round = 0_u64;
    while Instant::now() < end {
        round += 1;
        let prompt = format!("worker {worker} round {round}");
        let entry = worker % system.entries.len();
        let name = match system.chat(entry, &prompt, TOKENS).await {
            Ok((StatusCode::OK, body)) if content(&body) == expected(&prompt, TOKENS) => {
                "answered".to_owned()
            }
            Ok((StatusCode::OK, _)) => "WRONG ANSWER".to_owned(),
            Ok((status, body)) => match ApiError::parse(status, &body) {
                Some(e) => {
                    // A caller comes back when it is told to, here at most in a second.
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

fn print(report: &mut Report, phase: &str, outcomes: &Outcomes) {
    for (name, count) in outcomes {
        report.figure(
            &format!("{phase}: {name}"),
            f64::from(*count),
            "requests in 4 s",
        );
    }
}
