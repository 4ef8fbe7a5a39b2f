//! Cache events, and export and import of the KV cache.

use std::time::Duration;

use geranium_engine::prelude::*;
use geranium_engine::{BLOCK_BYTES, block_hashes};
use geranium_fakes::fixture::{
    chat, completion, engine_client, open_stream, quick_engine, read_to_end, serving_engine,
};
use geranium_fakes::{EngineConfig, FakeEngine};

/// Runs a chat whose prompt has four full blocks and returns their hashes.
async fn run_chat(engine: &FakeEngine) -> Vec<u64> {
    let chat = chat(&"p".repeat(4 * BLOCK_BYTES), 1);
    let mut stream = open_stream(engine, &completion("r", 1, &chat)).await;
    let (_, end) = read_to_end(&mut stream).await;
    assert_eq!(end, Ok(()));
    block_hashes(chat.prompt().as_bytes()).collect()
}

async fn read_events(engine: &FakeEngine, after: u64) -> CacheEvents {
    engine_client()
        .cache_events(engine.address(), after)
        .await
        .expect("the engine returns its cache events")
}

#[tokio::test]
async fn blocks_of_a_prompt_are_reported_in_order() {
    let engine = serving_engine(quick_engine("a")).await;
    let blocks = run_chat(&engine).await;

    let first = read_events(&engine, 0).await;
    let rest = read_events(&engine, first.next).await;

    let stored: Vec<u64> = first.events.iter().map(|e| e.block_hash).collect();
    assert_eq!(stored, blocks);
    assert!(
        first
            .events
            .iter()
            .all(|e| e.kind == CacheEventKind::Stored)
    );
    assert_eq!(
        rest,
        CacheEvents {
            events: Vec::new(),
            next: first.next
        }
    );
}

#[tokio::test]
async fn lost_events_show_as_gaps_in_the_sequence() {
    let engine = serving_engine(EngineConfig {
        cache_gap_every: 3,
        ..quick_engine("a")
    })
    .await;
    run_chat(&engine).await;

    let reported = read_events(&engine, 0).await;

    let sequences: Vec<u64> = reported.events.iter().map(|e| e.sequence).collect();
    assert_eq!(sequences, [1, 2, 4]);
}

#[tokio::test]
async fn cache_events_are_reported_late() {
    let engine = serving_engine(EngineConfig {
        cache_lag: Duration::from_secs(3_600),
        ..quick_engine("a")
    })
    .await;
    run_chat(&engine).await;

    assert_eq!(read_events(&engine, 0).await, CacheEvents::default());
}

#[tokio::test]
async fn a_full_cache_evicts_the_block_used_longest_ago() {
    let engine = serving_engine(EngineConfig {
        cache_blocks: 3,
        ..quick_engine("a")
    })
    .await;
    let blocks = run_chat(&engine).await;

    let reported = read_events(&engine, 0).await;

    let evicted: Vec<u64> = reported
        .events
        .iter()
        .filter(|e| e.kind == CacheEventKind::Evicted)
        .map(|e| e.block_hash)
        .collect();
    assert_eq!(evicted, blocks[..1]);
}

#[tokio::test]
async fn exported_blocks_are_in_the_cache_of_the_engine_that_imports_them() {
    let (from, to) = (
        serving_engine(quick_engine("a")).await,
        serving_engine(quick_engine("b")).await,
    );
    let blocks = run_chat(&from).await;
    let unknown = 1;

    let requested = [blocks[0], unknown, blocks[1]];
    let exported = engine_client()
        .export_kv(from.address(), &requested)
        .await
        .expect("the engine exports the blocks");
    let imported = engine_client().import_kv(to.address(), exported).await;

    assert_eq!(imported, Ok(2));
    let reported = read_events(&to, 0).await;
    let stored: Vec<u64> = reported.events.iter().map(|e| e.block_hash).collect();
    assert_eq!(stored, blocks[..2]);
}

#[tokio::test]
async fn an_export_that_is_cut_off_is_refused() {
    let engine = serving_engine(quick_engine("a")).await;

    let outcome = engine_client()
        .import_kv(engine.address(), bytes::Bytes::from_static(b"123"))
        .await;

    assert!(matches!(outcome, Err(EngineError::Refused(_, 400, ..))));
}
