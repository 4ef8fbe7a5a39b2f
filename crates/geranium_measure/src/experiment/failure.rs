//! Time from the death of a group member to its repair, and from a drain to its effect.

use std::path::Path;
use std::time::{Duration, Instant};

use geranium_fakes::system::{DomainSize, System, open_groups, until};
use hyper::StatusCode;
use serde_json::json;

use crate::measure_error::MeasureError;
use crate::report::Report;

/// Number of member deaths that are timed.
const MEMBER_DEATHS: usize = 5;

/// Users' goals, in seconds.
const GOAL_GATE_CLOSED_S: f64 = 1.0;
const GOAL_REPAIR_S: f64 = 2.0;
const GOAL_DRAIN_S: f64 = 2.0;

/// Measures deaths of group members and the drain of a failure domain.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let mut gate_times = Vec::new();
    let mut repair_times = Vec::new();
    let mut service_times = Vec::new();
    for _ in 0..MEMBER_DEATHS {
        let (gate_time, repair_time, service_time) = measure_member_death(geraniumd).await;
        gate_times.push(gate_time);
        repair_times.push(repair_time);
        service_times.push(service_time);
    }
    let worst = |times: &[f64]| times.iter().copied().fold(0.0, f64::max);
    report.print_goal(
        "death of a member to the gate closed, worst of 5",
        worst(&gate_times),
        GOAL_GATE_CLOSED_S,
        "s",
    );
    report.print_goal(
        "death to the order for repair, worst of 5",
        worst(&repair_times),
        GOAL_REPAIR_S,
        "s",
    );
    report.print_figure(
        "death to serving again, load 0.1 s, worst of 5",
        worst(&service_times),
        "s",
    );
    measure_drain(geraniumd, report).await
}

/// Stops a member of a serving group and measures the recovery.
///
/// Returns the seconds until the gate is closed on both entry hosts, until the spare engine has
/// followed an order, and until a group serves again.
async fn measure_member_death(geraniumd: &Path) -> (f64, f64, f64) {
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
    let gate_time = start.elapsed().as_secs_f64();
    until("the order", || async {
        (system.engine(spare).stats().orders_followed > orders).then_some(())
    })
    .await;
    let repair_time = start.elapsed().as_secs_f64();
    system.wait_serving("lima-1", 1).await;
    (gate_time, repair_time, start.elapsed().as_secs_f64())
}

/// Drains one of two failure domains under load.
///
/// Reports the time until the last new execution there and the outcomes of the requests.
async fn measure_drain(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
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
    let drain_record = json!({
        "schema_version": 2, "kind": "drain", "name": "domain-lima-1",
        "target": {"failure_domain": "lima-1"}, "reason": "measure",
    });
    let drained_executions = |system: &System| -> u64 {
        system
            .engines
            .iter()
            .flatten()
            .take(2)
            .map(|e| e.stats().executions)
            .sum()
    };
    let mut counts = OutcomeCounts::default();
    for _ in 0..100 {
        counts.send_request(&system).await;
    }
    let before = counts;
    system.apply(&drain_record).await;
    let start = Instant::now();
    let (mut last_execution_s, mut seen_executions) = (0.0, drained_executions(&system));
    while start.elapsed() < Duration::from_secs(4) {
        counts.send_request(&system).await;
        let now = drained_executions(&system);
        if now != seen_executions {
            seen_executions = now;
            last_execution_s = start.elapsed().as_secs_f64();
        }
    }
    report.print_goal(
        "drain accepted to the last new work",
        last_execution_s,
        GOAL_DRAIN_S,
        "s",
    );
    report.print_figure("requests before, answered", f64::from(before.answered), "");
    report.print_figure(
        "requests while out, answered",
        f64::from(counts.answered - before.answered),
        "",
    );
    report.print_figure(
        "requests while out, refused",
        f64::from(counts.refused - before.refused),
        "",
    );
    report.print_figure(
        "requests while out, failed",
        f64::from(counts.failed - before.failed),
        "",
    );
    Ok(())
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    answered: u32,
    refused: u32,
    failed: u32,
}

impl OutcomeCounts {
    async fn send_request(&mut self, system: &System) {
        match system.chat(0, "steady load", 4).await {
            Ok((StatusCode::OK, _)) => self.answered += 1,
            Ok(_) => self.refused += 1,
            Err(_) => self.failed += 1,
        }
    }
}
