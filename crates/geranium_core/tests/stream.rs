//! Tests of the assembly of streamed answers.

use geranium_core::prelude::*;
use geranium_core::stream::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn id() -> RequestId {
    RequestId::new("r1")
}

fn token_text(index: u64) -> String {
    format!("t{index} ")
}

fn token(attempt: u32, sequence: u64, index: u64) -> StreamChunk {
    StreamChunk {
        request: id(),
        attempt,
        sequence,
        body: ChunkBody::Tokens {
            first: index,
            count: 1,
            text: token_text(index),
        },
    }
}

fn end(attempt: u32, sequence: u64, tokens: u64) -> StreamChunk {
    StreamChunk {
        request: id(),
        attempt,
        sequence,
        body: ChunkBody::End {
            tokens,
            reason: FinishReason::Stop,
        },
    }
}

/// Returns all chunks of an attempt that starts at token `from`.
fn attempt_chunks(attempt: u32, from: u64, tokens: u64) -> Vec<StreamChunk> {
    let mut chunks: Vec<StreamChunk> = (from..tokens)
        .map(|index| token(attempt, index - from, index))
        .collect();
    chunks.push(end(attempt, tokens - from, tokens));
    chunks
}

/// Takes all ready deliveries: appends their text and returns the end or error, if any.
fn drain(stream: &mut StreamAssembler, text: &mut String) -> Option<Delivery> {
    while let Some(delivery) = stream.take() {
        match delivery {
            Delivery::Tokens { text: part, .. } => text.push_str(&part),
            last => return Some(last),
        }
    }
    None
}

fn whole_text(tokens: u64) -> String {
    (0..tokens).map(token_text).collect()
}

/// Creates a runner with a fixed seed, so that every run uses the same cases.
fn runner() -> TestRunner {
    let cfg = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    TestRunner::new_with_rng(cfg, rng)
}

#[test]
fn interrupted_stream_ends_with_an_error_and_no_end() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.accept(token(1, 0, 0));

    stream.interrupt();
    let late = stream.accept(end(1, 1, 1));

    let mut text = String::new();
    let last = drain(&mut stream, &mut text);
    assert_eq!(
        last,
        Some(Delivery::Error(StreamError::Interrupted(id(), 1)))
    );
    assert_eq!(late, ChunkOutcome::Dropped);
}

#[test]
fn end_with_missing_tokens_is_an_error() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.accept(token(1, 0, 0));

    stream.accept(end(1, 1, 2));

    let last = drain(&mut stream, &mut String::new());
    let error = StreamError::Incomplete(id(), 2, 1);
    assert_eq!(last, Some(Delivery::Error(error)));
}

#[test]
fn chunk_of_another_request_or_an_old_attempt_is_dropped() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    let mut other_request = token(1, 0, 0);
    other_request.request = RequestId::new("r2");

    assert_eq!(stream.accept(other_request), ChunkOutcome::Dropped);
    assert_eq!(stream.accept(token(1, 0, 0)), ChunkOutcome::Appended);
    let point = stream.resume().expect("resumable");
    assert_eq!(stream.accept(token(1, 1, 1)), ChunkOutcome::Dropped);

    assert_eq!((point.attempt, point.resume_from), (2, 1));
    assert_eq!(point.text, token_text(0));
}

#[test]
fn resume_at_the_wrong_token_is_an_error() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.accept(token(1, 0, 0));
    stream.resume().expect("resumable");

    stream.accept(token(2, 0, 2));

    let last = drain(&mut stream, &mut String::new());
    let error = StreamError::TokenGap(id(), 1, 2);
    assert_eq!(last, Some(Delivery::Error(error)));
}

#[test]
fn slow_reader_ends_the_stream_with_an_error_in_bounded_memory() {
    let limits = StreamLimits {
        max_buffered_bytes: 8,
        ..StreamLimits::default()
    };
    let mut stream = StreamAssembler::new(id(), limits);

    for index in 0..4 {
        stream.accept(token(1, index, index));
    }

    let mut text = String::new();
    let last = drain(&mut stream, &mut text);
    let error = StreamError::ReaderTooSlow(id(), 6);
    assert_eq!(last, Some(Delivery::Error(error)));
    assert_eq!(text, whole_text(2));
}

#[test]
fn too_many_chunks_after_a_missing_one_end_the_stream() {
    let limits = StreamLimits {
        max_reordered_chunks: 2,
        ..StreamLimits::default()
    };
    let mut stream = StreamAssembler::new(id(), limits);

    for index in 1..4 {
        stream.accept(token(1, index, index));
    }

    let last = drain(&mut stream, &mut String::new());
    let error = StreamError::ReorderOverflow(id(), 0);
    assert_eq!(last, Some(Delivery::Error(error)));
}

#[test]
fn unstreamed_answer_of_an_old_attempt_is_dropped() {
    let whole = |attempt| StreamChunk {
        request: id(),
        attempt,
        sequence: 0,
        body: ChunkBody::Whole {
            tokens: 2,
            text: "dos palabras".into(),
            reason: FinishReason::Stop,
        },
    };
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.resume().expect("resumable");

    let late = stream.accept(whole(1));
    let own = stream.accept(whole(2));

    let mut text = String::new();
    let last = drain(&mut stream, &mut text);
    assert_eq!((late, own), (ChunkOutcome::Dropped, ChunkOutcome::Appended));
    assert_eq!(text, "dos palabras");
    assert!(matches!(last, Some(Delivery::End(_))));
}

#[test]
fn answer_over_the_resume_limit_cannot_be_resumed() {
    let limits = StreamLimits {
        max_resume_bytes: 4,
        ..StreamLimits::default()
    };
    let mut stream = StreamAssembler::new(id(), limits);
    stream.accept(token(1, 0, 0));
    stream.accept(token(1, 1, 1));

    let resumed = stream.resume();

    assert_eq!(resumed, Err(StreamError::TooLongToResume(id(), 6)));
}

#[test]
fn shuffled_and_duplicated_chunks_assemble_the_answer_once() {
    let tokens = 12;
    let mut chunks = attempt_chunks(1, 0, tokens);
    chunks.extend(chunks.clone());
    let orders = Just(chunks).prop_shuffle();

    runner()
        .run(&orders, |order| {
            let mut stream = StreamAssembler::new(id(), StreamLimits::default());
            let mut text = String::new();
            let mut last = None;
            for chunk in order {
                stream.accept(chunk);
                last = last.or(drain(&mut stream, &mut text));
            }
            prop_assert_eq!(text, whole_text(tokens));
            prop_assert!(matches!(last, Some(Delivery::End(_))));
            Ok(())
        })
        .expect("holds for every order");
}

#[test]
fn resumed_answers_neither_lose_nor_repeat_tokens() {
    let tokens = 12;
    let cases = (prop::collection::vec(0..=12_usize, 0..4), any::<bool>());

    runner()
        .run(&cases, |(deaths, replays_late_chunks)| {
            let mut stream = StreamAssembler::new(id(), StreamLimits::default());
            let mut text = String::new();
            let mut from = 0;
            let mut attempt = 1;
            for delivered in deaths {
                let chunks = attempt_chunks(attempt, from, tokens);
                let before_end = delivered.min(chunks.len() - 1);
                for chunk in &chunks[..before_end] {
                    stream.accept(chunk.clone());
                }
                drain(&mut stream, &mut text);
                let point = stream.resume().expect("resumable");
                prop_assert_eq!(&point.text, &whole_text(point.resume_from));
                if replays_late_chunks {
                    for chunk in chunks {
                        prop_assert_eq!(stream.accept(chunk), ChunkOutcome::Dropped);
                    }
                }
                (attempt, from) = (point.attempt, point.resume_from);
            }
            for chunk in attempt_chunks(attempt, from, tokens) {
                stream.accept(chunk);
            }
            let last = drain(&mut stream, &mut text);
            prop_assert_eq!(text, whole_text(tokens));
            prop_assert!(matches!(last, Some(Delivery::End(_))));
            Ok(())
        })
        .expect("holds for every sequence of replica failures");
}
