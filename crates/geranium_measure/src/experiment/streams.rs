//! Memory usage per open stream.

use std::path::Path;
use std::time::Duration;

use futures::StreamExt;
use geranium_engine::{ChatRequest, CompletionEvent};
use geranium_fakes::system::{DomainSize, System};

use super::latency::completion_stream;
use crate::measure_error::MeasureError;
use crate::process_stats::ProcessStats;
use crate::report::Report;

/// Number of open streams in each step.
const STREAM_STEPS: [usize; 4] = [0, 50, 100, 200];

/// Users' goal for the memory per open stream, in KiB.
const GOAL_KIB_PER_STREAM: f64 = 32.0;

/// Opens streams in steps and reads the resident memory of the entry host after each step.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let domain = DomainSize::new("lima-1", 1, 8);
    let system = System::start(geraniumd, &[domain], |cfg| {
        cfg.token_time = Duration::from_millis(50);
        cfg.warm_after = 1;
    })
    .await;
    system.apply_model(&[("lima-1", 8)], 1).await;
    system.wait_serving("lima-1", 8).await;
    system.warm_up(0).await;
    let pid = system.entries[0].pid();
    let mut open_streams = Vec::new();
    let mut points = Vec::new();
    for step in STREAM_STEPS {
        while open_streams.len() < step {
            let mut chat = ChatRequest::user("summary", format!("stream {}", open_streams.len()));
            chat.max_tokens = 1_000_000;
            let req = system.chat_request(0, &chat);
            let res = system.http.send(req, Duration::from_secs(30)).await;
            let res = res.map_err(|e| MeasureError::Call(e.to_string()))?;
            if !res.status().is_success() {
                return Err(MeasureError::Call(format!("status {}", res.status())));
            }
            let mut stream = completion_stream(system.entry(0).caller, res);
            if let Some(Ok(CompletionEvent::Piece(_))) = stream.next().await {
                open_streams.push(tokio::spawn(async move {
                    while stream.next().await.is_some() {}
                }));
            }
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let resident = ProcessStats::read(pid)?.resident_bytes as f64 / 1_024.0;
        points.push((open_streams.len() as f64, resident));
    }
    let fit = report.print_slope("memory of open streams", "stream", &points, "KiB");
    report.print_goal(
        "memory of an open stream",
        fit.slope,
        GOAL_KIB_PER_STREAM,
        "KiB",
    );
    for task in open_streams {
        task.abort();
    }
    Ok(())
}
