//! Tests of splitting a byte stream into lines.

use bytes::Bytes;
use geranium_net::{LineError, LineSplitter};

const TEXT: &[u8] = b"one\ntwo\r\nthree\rfour\n\r\n\r\rlast\r\n";
const LINES: [&str; 8] = ["one", "two", "three", "four", "", "", "", "last"];

fn drain(lines: &mut LineSplitter) -> Vec<String> {
    let next = || lines.next_line().expect("short lines");
    std::iter::from_fn(next)
        .map(|line| String::from_utf8_lossy(&line).into_owned())
        .collect()
}

#[test]
fn lines_do_not_depend_on_chunk_boundaries() {
    for first in 0..=TEXT.len() {
        for second in first..=TEXT.len() {
            let mut lines = LineSplitter::new(16);
            let mut seen = Vec::new();
            for chunk in [&TEXT[..first], &TEXT[first..second], &TEXT[second..]] {
                lines.push(Bytes::copy_from_slice(chunk));
                seen.extend(drain(&mut lines));
            }
            assert_eq!(seen, LINES, "boundaries at {first} and {second}");
        }
    }
}

#[test]
fn lines_are_split_from_single_byte_chunks() {
    let mut lines = LineSplitter::new(16);
    let mut seen = Vec::new();

    for byte in TEXT {
        lines.push(Bytes::copy_from_slice(&[*byte]));
        seen.extend(drain(&mut lines));
    }

    assert_eq!(seen, LINES);
}

#[test]
fn chunks_pushed_before_reading_keep_their_order() {
    let mut lines = LineSplitter::new(16);

    lines.push(Bytes::from_static(b"on"));
    lines.push(Bytes::from_static(b"e\ntwo\n"));

    assert_eq!(drain(&mut lines), ["one", "two"]);
    assert!(!lines.has_partial_line());
}

#[test]
fn line_over_the_limit_is_rejected_before_it_ends() {
    let mut lines = LineSplitter::new(4);

    lines.push(Bytes::from_static(b"abcd"));
    let within_limit = lines.next_line();
    lines.push(Bytes::from_static(b"e"));
    let over_limit = lines.next_line();

    assert_eq!(within_limit, Ok(None));
    assert_eq!(over_limit, Err(LineError::TooLong(4)));
}
