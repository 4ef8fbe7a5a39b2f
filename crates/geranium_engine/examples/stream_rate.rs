//! Measures the processor time that the engine client spends per token.
//!
//! One thread reads many streams from a fake engine that runs on other threads. The
//! example prints the pieces per second, and the processor time of the reading thread
//! per piece; a piece carries one token.
//!
//! `cargo run --release -p geranium_engine --example stream_rate -- [streams] [micros per token]`

use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::join_all;
use geranium_engine::prelude::*;
use geranium_fakes::fixture::{chat, completion, form_group, quick_engine};
use geranium_fakes::{EngineConfig, FakeEngine};

const TOKENS_PER_STREAM: u32 = 1_000;
const DEFAULT_STREAMS: u32 = 256;
const DEFAULT_MICROS_PER_TOKEN: u64 = 3_400;

fn main() -> std::io::Result<()> {
    let mut args = std::env::args().skip(1);
    let streams = args.next().and_then(|arg| arg.parse().ok());
    let micros = args.next().and_then(|arg| arg.parse().ok());
    let cfg = EngineConfig {
        token_time: Duration::from_micros(micros.unwrap_or(DEFAULT_MICROS_PER_TOKEN)),
        warm_after: 0,
        slots: u32::MAX,
        batch_capacity: u32::MAX,
        ..quick_engine("a")
    };
    let engine_runtime = tokio::runtime::Runtime::new()?;
    let engine = engine_runtime
        .block_on(FakeEngine::start(cfg))
        .expect("listening on the loopback interface");
    let client_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    client_runtime.block_on(measure(&engine, streams.unwrap_or(DEFAULT_STREAMS)))
}

async fn measure(engine: &FakeEngine, streams: u32) -> std::io::Result<()> {
    let client = HttpEngineClient::new(EngineClientConfig::default());
    form_group(&client, &[engine], 1)
        .await
        .expect("the group is formed");
    let (started, cpu_before) = (Instant::now(), thread_cpu_time()?);
    let counts = join_all((0..streams).map(|i| read_stream(&client, engine, i))).await;
    let (elapsed, cpu) = (started.elapsed(), thread_cpu_time()? - cpu_before);
    let pieces: u32 = counts.into_iter().sum();
    println!(
        "{pieces} pieces over {streams} streams in {:.2} s: {:.0} pieces/s, {:.0}% of a core, {} ns per piece",
        elapsed.as_secs_f64(),
        f64::from(pieces) / elapsed.as_secs_f64(),
        100.0 * cpu.as_secs_f64() / elapsed.as_secs_f64(),
        (cpu / pieces).as_nanos(),
    );
    Ok(())
}

async fn read_stream(client: &HttpEngineClient, engine: &FakeEngine, number: u32) -> u32 {
    let req = completion(&format!("r{number}"), 1, &chat("hello", TOKENS_PER_STREAM));
    let stream = client.stream_completion(engine.address(), &req).await;
    let mut stream = stream.expect("the engine accepts the completion");
    let mut pieces = 0;
    while let Some(event) = stream.next().await {
        match event.expect("the stream has no error") {
            CompletionEvent::Piece(_) => pieces += 1,
            CompletionEvent::Done => return pieces,
        }
    }
    panic!("the stream ended without an end marker");
}

/// Returns the processor time of the calling thread.
fn thread_cpu_time() -> std::io::Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Ok(Duration::from_nanos(nanos.unwrap_or(0)))
}
