//! Time until a configuration change is in force on all hosts, and platform calls per change.

use std::path::Path;
use std::time::{Duration, Instant};

use geranium_fakes::system::{DomainSize, System, account, model, until};
use hdrhistogram::Histogram;
use serde_json::json;

use super::fleet::platform_calls;
use crate::measure_error::MeasureError;
use crate::report::Report;

/// Number of changes that are timed individually.
const TIMED_CHANGES: u32 = 60;

/// Number of changes applied back to back in the burst.
const BURST_CHANGES: u32 = 100;

/// Users' goal for the 99th percentile, in seconds.
const GOAL_P99_S: f64 = 1.0;

/// Measures configuration changes on seven entry hosts in three failure domains.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let size = |name, entry_hosts| DomainSize {
        name,
        entry_hosts,
        engines: 0,
    };
    let domains = [size("lima-1", 3), size("lima-2", 2), size("lima-3", 2)];
    let system = System::start(geraniumd, &domains, |_| {}).await;
    system.apply(&account()).await;
    // Waits for one untimed change first, so that the entry hosts have discovered each other.
    let first_generation = apply_change(&system, TIMED_CHANGES + BURST_CHANGES).await?;
    wait_in_force(&system, first_generation).await;
    let mut histogram: Histogram<u64> =
        Histogram::new(3).map_err(|e| MeasureError::Call(e.to_string()))?;
    for i in 0..TIMED_CHANGES {
        let start = Instant::now();
        let generation = apply_change(&system, i).await?;
        wait_in_force(&system, generation).await;
        let _ = histogram.record(start.elapsed().as_micros() as u64);
    }
    let p50 = histogram.value_at_quantile(0.5) as f64 / 1e6;
    let p99 = histogram.value_at_quantile(0.99) as f64 / 1e6;
    report.print_figure("apply to in force on 7 hosts p50", p50, "s");
    report.print_goal("apply to in force on 7 hosts p99", p99, GOAL_P99_S, "s");
    measure_burst(&system, report).await
}

/// Measures platform calls at rest, then the time and platform calls of a burst of changes.
async fn measure_burst(system: &System, report: &mut Report) -> Result<(), MeasureError> {
    let idle_start = platform_calls(system);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = (platform_calls(system) - idle_start) as f64 / 5.0;
    report.print_figure("platform calls at rest, 7 hosts", idle, "calls/s");
    let before = platform_calls(system);
    let start = Instant::now();
    let mut generation = 0;
    for i in 0..BURST_CHANGES {
        generation = apply_change(system, TIMED_CHANGES + i).await?;
    }
    wait_in_force(system, generation).await;
    let seconds = start.elapsed().as_secs_f64();
    let change_calls = (platform_calls(system) - before) as f64 - idle * seconds;
    report.print_figure("burst of 100 changes until in force", seconds, "s");
    report.print_figure(
        "platform calls of one change",
        change_calls / f64::from(BURST_CHANGES),
        "calls",
    );
    Ok(())
}

/// Applies a change of the model record and returns the new generation.
async fn apply_change(system: &System, number: u32) -> Result<u64, MeasureError> {
    let mut document = model(&[("lima-1", 0)], 2);
    document["warm_concurrency"] = json!(100 + number);
    let applied = system.apply_at(0, &document, "measure", None).await;
    Ok(applied
        .map_err(|e| MeasureError::Call(e.to_string()))?
        .generation)
}

async fn wait_in_force(system: &System, generation: u64) {
    let at = system.entry(0).operator;
    until("the change in force everywhere", || async {
        let views = system
            .operator
            .in_force(at, "model", "summary", generation)
            .await
            .ok()?;
        let all = views.len() == system.entries.len() && views.iter().all(|view| view.in_force);
        all.then_some(())
    })
    .await;
}
