//! Token throughput of one entry host, and the processor time per token.

use std::path::Path;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::join_all;
use geranium_engine::{ChatRequest, CompletionEvent};
use geranium_fakes::system::{DomainSize, System};

use super::latency::completion_stream;
use crate::measure_error::MeasureError;
use crate::process_stats::ProcessStats;
use crate::report::Report;

/// Tokens generated per request.
const TOKENS_PER_REQUEST: u32 = 512;

/// Concurrent streams in each step.
const STREAM_STEPS: [usize; 4] = [8, 32, 64, 128];

/// Duration of one step.
const STEP_TIME: Duration = Duration::from_secs(4);

/// Users' goal, in tokens per second.
const GOAL_TOKENS_PER_S: f64 = 75_000.0;

/// Mean load of an entry host at the target size: 3 million tokens/s over 400 hosts.
const TARGET_TOKENS_PER_S: f64 = 7_500.0;

/// Measures the token rate and processor time for an increasing number of streams.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let domain = DomainSize::new("lima-1", 1, 4);
    let system = System::start(geraniumd, &[domain], |cfg| {
        cfg.token_time = Duration::from_micros(200);
        cfg.batch_capacity = 1_000;
        cfg.slots = 1_000;
        cfg.warm_after = 1;
    })
    .await;
    system.apply_model(&[("lima-1", 4)], 1).await;
    system.wait_serving("lima-1", 4).await;
    system.warm_up(0).await;
    let pid = system.entries[0].pid();
    let mut points = Vec::new();
    let mut best_rate = 0.0_f64;
    for streams in STREAM_STEPS {
        let before = ProcessStats::read(pid)?;
        let start = Instant::now();
        let counts =
            join_all((0..streams).map(|i| count_tokens_until(&system, i, start + STEP_TIME))).await;
        let tokens: u64 = counts.into_iter().sum();
        let rate = tokens as f64 / start.elapsed().as_secs_f64();
        let after = ProcessStats::read(pid)?;
        let percent = after.cpu_percent_since(&before);
        report.print_figure(&format!("{streams} streams"), rate, "tokens/s");
        report.print_figure(
            &format!("{streams} streams, processor"),
            percent,
            "% of a core",
        );
        points.push((rate, percent));
        best_rate = best_rate.max(rate);
    }
    let fit = report.print_slope("processor of tokens", "token/s", &points, "% of a core");
    report.print_figure("processor of one token", fit.slope * 10_000.0, "us");
    report.print_figure(
        "share of the goal of 75000 tokens/s",
        100.0 * best_rate / GOAL_TOKENS_PER_S,
        "%",
    );
    report.print_figure(
        "processor at 7500 tokens/s",
        fit.value_at(TARGET_TOKENS_PER_S),
        "% of a core",
    );
    Ok(())
}

/// Sends requests one after another until `end` and returns the number of tokens received.
async fn count_tokens_until(system: &System, number: usize, end: Instant) -> u64 {
    let mut tokens = 0;
    let mut round = 0_u64;
    while Instant::now() < end {
        round += 1;
        let mut chat = ChatRequest::user("summary", format!("stream {number} round {round}"));
        chat.max_tokens = TOKENS_PER_REQUEST;
        let req = system.chat_request(0, &chat);
        let Ok(res) = system.http.send(req, Duration::from_secs(30)).await else {
            continue;
        };
        if !res.status().is_success() {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let mut stream = completion_stream(system.entry(0).caller, res);
        while let Some(Ok(CompletionEvent::Piece(_))) = stream.next().await {
            tokens += 1;
            if Instant::now() >= end {
                break;
            }
        }
    }
    tokens
}
