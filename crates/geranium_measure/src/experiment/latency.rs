//! Latency that an entry host adds to the first token and between tokens.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use futures::StreamExt;
use geranium_engine::{
    ChatRequest, CompletionEvent, CompletionRequest, CompletionStream, EngineApi,
    EngineClientConfig, HttpEngineClient,
};
use geranium_fakes::system::{DomainSize, System};
use geranium_net::ResponseMemory;
use hdrhistogram::Histogram;

use crate::measure_error::MeasureError;
use crate::report::Report;

/// Requests on each path: direct and through an entry host.
const REQUESTS_PER_PATH: u64 = 400;

/// Tokens generated per request.
const TOKENS_PER_REQUEST: u32 = 32;

/// Users' goals for the latency added to a request, in milliseconds.
const GOAL_P50_MS: f64 = 0.3;
const GOAL_P99_MS: f64 = 1.0;

/// Time to the first token and time between tokens, in microseconds.
struct LatencyHistograms {
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl LatencyHistograms {
    fn new() -> Result<Self, MeasureError> {
        let make = || Histogram::new(3).map_err(|e| MeasureError::Call(e.to_string()));
        Ok(Self {
            first: make()?,
            between: make()?,
        })
    }
}

/// Compares direct calls to an engine with calls through an entry host.
pub async fn run(geraniumd: &Path, report: &mut Report) -> Result<(), MeasureError> {
    let domain = DomainSize::new("lima-1", 1, 1);
    let system = System::start(geraniumd, &[domain], |cfg| {
        // The fake engine uses no timer: the timer resolution is as long as the measured latency.
        cfg.token_time = Duration::ZERO;
        cfg.warm_after = 1;
    })
    .await;
    system.apply_model(&[("lima-1", 1)], 1).await;
    system.wait_serving("lima-1", 1).await;
    system.warm_up(0).await;
    let (mut direct, mut through_host) = (LatencyHistograms::new()?, LatencyHistograms::new()?);
    for i in 0..REQUESTS_PER_PATH {
        // Alternates the paths, so that both run under the same machine load.
        let prompt = format!("request {i}");
        direct_call(&system, &prompt, i, &mut direct).await?;
        entry_host_call(&system, &prompt, &mut through_host).await?;
    }
    print_latencies(report, &direct, &through_host);
    Ok(())
}

async fn direct_call(
    system: &System,
    prompt: &str,
    number: u64,
    histograms: &mut LatencyHistograms,
) -> Result<(), MeasureError> {
    let engine = system.engine(0);
    let assignment = engine.report().assignment;
    let assignment = assignment.ok_or_else(|| MeasureError::Call("no group serves".into()))?;
    let body =
        serde_json::to_vec(&chat_request(prompt)).map_err(|e| MeasureError::Call(e.to_string()))?;
    let req = CompletionRequest {
        request: geranium_core::id::RequestId::new(format!("direct-{number}")),
        group: assignment.group,
        fencing: assignment.fencing,
        priority: 5,
        remaining: Duration::from_secs(30),
        body: body.into(),
        resume: None,
    };
    let client = shared_client();
    let start = Instant::now();
    let stream = client.stream_completion(engine.address(), &req).await;
    record_latencies(
        stream.map_err(|e| MeasureError::Call(e.to_string()))?,
        start,
        histograms,
    )
    .await
}

async fn entry_host_call(
    system: &System,
    prompt: &str,
    histograms: &mut LatencyHistograms,
) -> Result<(), MeasureError> {
    let at = system.entry(0).caller;
    let req = system.chat_request(0, &chat_request(prompt));
    let start = Instant::now();
    let res = system.http.send(req, Duration::from_secs(30)).await;
    let res = res.map_err(|e| MeasureError::Call(e.to_string()))?;
    if !res.status().is_success() {
        return Err(MeasureError::Call(format!("status {}", res.status())));
    }
    record_latencies(completion_stream(at, res), start, histograms).await
}

/// Wraps the response body of an entry host as a completion stream.
pub fn completion_stream(
    at: SocketAddr,
    res: hyper::Response<hyper::body::Incoming>,
) -> CompletionStream {
    CompletionStream::new(at, res.into_body(), 1 << 20, &ResponseMemory::new(4 << 20))
}

fn chat_request(prompt: &str) -> ChatRequest {
    let mut chat = ChatRequest::user("summary", prompt);
    chat.max_tokens = TOKENS_PER_REQUEST;
    chat
}

fn shared_client() -> HttpEngineClient {
    use std::sync::OnceLock;
    static CLIENT: OnceLock<HttpEngineClient> = OnceLock::new();
    CLIENT
        .get_or_init(|| HttpEngineClient::new(EngineClientConfig::default()))
        .clone()
}

/// Reads a stream to its end and records the time to each token.
async fn record_latencies(
    mut stream: CompletionStream,
    start: Instant,
    histograms: &mut LatencyHistograms,
) -> Result<(), MeasureError> {
    let mut last: Option<Instant> = None;
    while let Some(event) = stream.next().await {
        match event.map_err(|e| MeasureError::Call(e.to_string()))? {
            CompletionEvent::Done => break,
            CompletionEvent::Piece(_) => {
                let now = Instant::now();
                let since = now.duration_since(last.unwrap_or(start)).as_micros();
                let histogram = if last.is_none() {
                    &mut histograms.first
                } else {
                    &mut histograms.between
                };
                let _ = histogram.record(u64::try_from(since).unwrap_or(u64::MAX));
                last = Some(now);
            }
        }
    }
    Ok(())
}

fn print_latencies(
    report: &mut Report,
    direct: &LatencyHistograms,
    through_host: &LatencyHistograms,
) {
    for (name, quantile, goal) in [("p50", 0.5, GOAL_P50_MS), ("p99", 0.99, GOAL_P99_MS)] {
        let direct_ms = direct.first.value_at_quantile(quantile) as f64 / 1_000.0;
        let through_host_ms = through_host.first.value_at_quantile(quantile) as f64 / 1_000.0;
        report.print_figure(&format!("first token direct {name}"), direct_ms, "ms");
        report.print_figure(
            &format!("first token through an entry host {name}"),
            through_host_ms,
            "ms",
        );
        report.print_figure(
            &format!("first token, ratio to direct {name}"),
            through_host_ms / direct_ms,
            "",
        );
        report.print_goal(
            &format!("added to the first token {name}"),
            through_host_ms - direct_ms,
            goal,
            "ms",
        );
        let direct_ms = direct.between.value_at_quantile(quantile) as f64 / 1_000.0;
        let through_host_ms = through_host.between.value_at_quantile(quantile) as f64 / 1_000.0;
        report.print_figure(
            &format!("added between tokens {name}"),
            through_host_ms - direct_ms,
            "ms",
        );
    }
}
