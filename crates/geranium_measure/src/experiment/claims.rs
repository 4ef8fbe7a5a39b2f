//! Latency and platform calls of non-idempotent calls, which must run at most once.

use std::path::Path;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::iter;
use geranium_fakes::system::{DomainSize, System};
use hdrhistogram::Histogram;
use hyper::StatusCode;

use super::fleet::platform_calls;
use crate::measure_error::MeasureError;
use crate::report::Report;

/// Concurrent calls in each step.
const CONCURRENCY_STEPS: [usize; 3] = [1, 8, 32];

/// Total calls in each step.
const CALLS_PER_STEP: usize = 400;

/// Measures calls through one entry host, each of which it claims before dispatch.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let domain = DomainSize::new("lima-1", 1, 0);
    let system = System::start(geraniumd, &[domain], |_| {}).await;
    system.apply_service().await;
    for concurrency in CONCURRENCY_STEPS {
        let mut histogram: Histogram<u64> =
            Histogram::new(3).map_err(|e| MeasureError::Call(e.to_string()))?;
        let before = platform_calls(&system);
        let start = Instant::now();
        let outcomes: Vec<(StatusCode, u64)> = iter(0..CALLS_PER_STEP)
            .map(|i| timed_call(&system, format!("{concurrency}-{i}")))
            .buffer_unordered(concurrency)
            .collect()
            .await;
        let seconds = start.elapsed().as_secs_f64();
        let succeeded = outcomes
            .iter()
            .filter(|(status, _)| *status == StatusCode::OK);
        let succeeded: Vec<u64> = succeeded.map(|(_, micros)| *micros).collect();
        for micros in &succeeded {
            let _ = histogram.record(*micros);
        }
        let name = format!("{concurrency} claimed calls at a time, ");
        report.print_figure(&format!("{name}done"), succeeded.len() as f64, "of 400");
        report.print_figure(
            &format!("{name}rate"),
            succeeded.len() as f64 / seconds,
            "calls/s",
        );
        let p50 = histogram.value_at_quantile(0.5) as f64 / 1_000.0;
        let p99 = histogram.value_at_quantile(0.99) as f64 / 1_000.0;
        report.print_figure(&format!("{name}p50"), p50, "ms");
        report.print_figure(&format!("{name}p99"), p99, "ms");
        let per_call = (platform_calls(&system) - before) as f64 / succeeded.len().max(1) as f64;
        report.print_figure(&format!("{name}platform calls of one"), per_call, "calls");
    }
    Ok(())
}

/// Sends a ban with the given idempotency key and returns the status and latency in microseconds.
///
/// A call without an answer counts as status 502.
async fn timed_call(system: &System, idempotency_key: String) -> (StatusCode, u64) {
    let start = Instant::now();
    let status = match system.ban(0, &idempotency_key).await {
        Ok((status, _)) => status,
        Err(_) => StatusCode::BAD_GATEWAY,
    };
    (
        status,
        u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX),
    )
}
