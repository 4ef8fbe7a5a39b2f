//! Assembly of answers from their pieces.

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

/// Pieces of one attempt that starts at token `from`.
fn attempt_pieces(attempt: u32, from: u64, tokens: u64) -> Vec<StreamChunk> {
    let mut pieces: Vec<StreamChunk> = (from..tokens)
        .map(|index| token(attempt, index - from, index))
        .collect();
    pieces.push(end(attempt, tokens - from, tokens));
    pieces
}

/// Takes all that is ready: the text, and the end or error if there is one.
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

/// A runner whose cases are the same on every run.
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
fn cut_stream_ends_with_an_error_and_never_looks_whole() {
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
fn end_that_names_more_tokens_than_came_is_an_error() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.accept(token(1, 0, 0));

    stream.accept(end(1, 1, 2));

    let last = drain(&mut stream, &mut String::new());
    let error = StreamError::Incomplete(id(), 2, 1);
    assert_eq!(last, Some(Delivery::Error(error)));
}

#[test]
fn piece_of_another_request_or_an_old_attempt_is_dropped() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    let mut foreign = token(1, 0, 0);
    foreign.request = RequestId::new("r2");

    assert_eq!(stream.accept(foreign), ChunkOutcome::Dropped);
    assert_eq!(stream.accept(token(1, 0, 0)), ChunkOutcome::Appended);
    let point = stream.resume().expect("resumable");
    assert_eq!(stream.accept(token(1, 1, 1)), ChunkOutcome::Dropped);

    assert_eq!((point.attempt, point.resume_from), (2, 1));
    assert_eq!(point.text, token_text(0));
}

#[test]
fn replica_that_resumes_at_the_wrong_token_is_found_out() {
    let mut stream = StreamAssembler::new(id(), StreamLimits::default());
    stream.accept(token(1, 0, 0));
    stream.resume().expect("resumable");

    stream.accept(token(2, 0, 2));

    let last = drain(&mut stream, &mut String::new());
    let error = StreamError::TokenGap(id(), 1, 2);
    assert_eq!(last, Some(Delivery::Error(error)));
}

#[test]
fn slow_reader_ends_with_a_typed_error_in_bounded_memory() {
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
fn too_many_pieces_after_a_missing_one_end_the_stream() {
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
fn whole_answer_is_bound_to_its_attempt_like_a_stream() {
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
fn text_too_long_to_keep_can_not_be_resumed() {
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
fn shuffled_and_doubled_pieces_give_the_whole_answer_once() {
    let tokens = 12;
    let mut pieces = attempt_pieces(1, 0, tokens);
    pieces.extend(pieces.clone());
    let orders = Just(pieces).prop_shuffle();

    runner()
        .run(&orders, |order| {
            let mut stream = StreamAssembler::new(id(), StreamLimits::default());
            let mut text = String::new();
            let mut last = None;
            for piece in order {
                stream.accept(piece);
                last = last.or(drain(&mut stream, &mut text));
            }
            prop_assert_eq!(text, whole_text(tokens));
            prop_assert!(matches!(last, Some(Delivery::End(_))));
            Ok(())
        })
        .expect("holds for each order");
}

#[test]
fn resumed_answers_lose_no_token_and_double_none_wherever_replicas_die() {
    let tokens = 12;
    let cases = (prop::collection::vec(0..=12_usize, 0..4), any::<bool>());

    runner()
        .run(&cases, |(deaths, replays_late_pieces)| {
            let mut stream = StreamAssembler::new(id(), StreamLimits::default());
            let mut text = String::new();
            let mut from = 0;
            let mut attempt = 1;
            for lived_for in deaths {
                let pieces = attempt_pieces(attempt, from, tokens);
                let before_end = lived_for.min(pieces.len() - 1);
                for piece in &pieces[..before_end] {
                    stream.accept(piece.clone());
                }
                drain(&mut stream, &mut text);
                let point = stream.resume().expect("resumable");
                prop_assert_eq!(&point.text, &whole_text(point.resume_from));
                if replays_late_pieces {
                    for piece in pieces {
                        prop_assert_eq!(stream.accept(piece), ChunkOutcome::Dropped);
                    }
                }
                (attempt, from) = (point.attempt, point.resume_from);
            }
            for piece in attempt_pieces(attempt, from, tokens) {
                stream.accept(piece);
            }
            let last = drain(&mut stream, &mut text);
            prop_assert_eq!(text, whole_text(tokens));
            prop_assert!(matches!(last, Some(Delivery::End(_))));
            Ok(())
        })
        .expect("holds for each sequence of deaths");
}
