//! Times from a failure to its effects.

use std::path::Path;
use std::time::{Duration, Instant};

use geranium_fakes::system::{DomainSize, System, open_groups, until};
use hyper::StatusCode;
use serde_json::json;

use crate::measure_error::MeasureError;
use crate::report::Report;

/// Deaths of a member that are timed.
const DEATHS: usize = 5;

/// Goals of the users, in seconds.
const GOAL_GATE_S: f64 = 1.0;
const GOAL_REPAIR_S: f64 = 2.0;
const GOAL_DRAIN_S: f64 = 2.0;

/// Measures deaths of members and a failure domain that leaves and returns.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let mut gates = Vec::new();
    let mut repairs = Vec::new();
    let mut served = Vec::new();
    for _ in 0..DEATHS {
        let (gate, repair, serves) = death(geraniumd).await;
        gates.push(gate);
        repairs.push(repair);
        served.push(serves);
    }
    let worst = |times: &[f64]| times.iter().copied().fold(0.0, f64::max);
    report.goal(
        "death of a member to the gate closed, worst of 5",
        worst(&gates),
        GOAL_GATE_S,
        "s",
    );
    report.goal(
        "death to the order for repair, worst of 5",
        worst(&repairs),
        GOAL_REPAIR_S,
        "s",
    );
    report.figure(
        "death to serving again, load 0.1 s, worst of 5",
        worst(&served),
        "s",
    );
    drain(geraniumd, report).await
}

/// Returns the times to a closed gate, to the order and to service, in seconds.
async fn death(geraniumd: &Path) -> (f64, f64, f64) {
    let domain = DomainSize::new("lima-1", 2, 3);
    let mut system = System::start(geraniumd, &[domain], |cfg| cfg.warm_after = 1).await;
    system.apply_model(&[("lima-1", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.chat_until_ok(0, "first", 2).await;
    let spare = system
        .engines
        .iter()
        .position(|e| e.as_ref().is_some_and(|e| e.report().assignment.is_none()))
        .unwrap_or_default();
    let victim = (0..3).rev().find(|i| *i != spare).unwrap_or_default();
    let orders = system.engine(spare).stats().orders_followed;
    system.engines[victim] = None;
    let start = Instant::now();
    until("a closed gate on both hosts", || async {
        for entry in [0, 1] {
            if !open_groups(&system.status(entry).await).is_empty() {
                return None;
            }
        }
        Some(())
    })
    .await;
    let gate = start.elapsed().as_secs_f64();
    until("the order", || async {
        (system.engine(spare).stats().orders_followed > orders).then_some(())
    })
    .await;
    let repair = start.elapsed().as_secs_f64();
    system.wait_serving("lima-1", 1).await;
    (gate, repair, start.elapsed().as_secs_f64())
}

async fn drain(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let size = |name| DomainSize {
        name,
        entry_hosts: 2,
        engines: 2,
    };
    let domains = [size("lima-1"), size("lima-2")];
    let system = System::start(geraniumd, &domains, |cfg| {
        cfg.warm_after = 1;
        cfg.token_time = Duration::from_millis(1);
    })
    .await;
    system.apply_model(&[("lima-1", 1), ("lima-2", 1)], 2).await;
    system.wait_serving("lima-1", 1).await;
    system.wait_serving("lima-2", 1).await;
    system.chat_until_ok(2, "first", 2).await;
    system.chat_until_ok(0, "first", 2).await;
    system.warm_up(0).await;
    let out = json!({
        "schema_version": 2, "kind": "drain", "name": "domain-lima-1",
        "target": {"failure_domain": "lima-1"}, "reason": "measure",
    });
    let work = |system: &System| -> u64 {
        system
            .engines
            .iter()
            .flatten()
            .take(2)
            .map(|e| e.stats().executions)
            .sum()
    };
    let mut outcome = Outcome::default();
    for _ in 0..100 {
        outcome.request(&system).await;
    }
    let before = outcome;
    system.apply(&out).await;
    let start = Instant::now();
    let (mut last, mut seen) = (0.0, work(&system));
    while start.elapsed() < Duration::from_secs(4) {
        outcome.request(&system).await;
        let now = work(&system);
        if now != seen {
            seen = now;
            last = start.elapsed().as_secs_f64();
        }
    }
    report.goal(
        "drain accepted to the last new work",
        last,
        GOAL_DRAIN_S,
        "s",
    );
    report.figure("requests before, answered", f64::from(before.answered), "");
    report.figure(
        "requests while out, answered",
        f64::from(outcome.answered - before.answered),
        "",
    );
    report.figure(
        "requests while out, refused",
        f64::from(outcome.refused - before.refused),
        "",
    );
    report.figure(
        "requests while out, failed",
        f64::from(outcome.failed - before.failed),
        "",
    );
    Ok(())
}

/// What became of requests.
#[derive(Clone, Copy, Default)]
struct Outcome {
    answered: u32,
    refused: u32,
    failed: u32,
}

impl Outcome {
    async fn request(&mut self, system: &System) {
        match system.chat(0, "steady load", 4).await {
            Ok((StatusCode::OK, _)) => self.answered += 1,
            Ok(_) => self.refused += 1,
            Err(_) => self.failed += 1,
        }
    }
}
