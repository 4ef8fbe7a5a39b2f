//! Decoding of server-sent events from chunks that split the stream at any byte.

use bytes::Bytes;
use geranium_engine::{SseDecoder, SseError, SseEvent, SseEventKind};

const STREAM: &str = "\u{feff}: comment\n\nid: 0\ndata: {\"a\":1}\n\nid:1\ndata:two\ndata: lines\n\n\
    retry: 5\nid: 2\n\nevent: error\ndata: broken\n\nevent: ping\ndata\n\ndata: [DONE]\n\nid: 3\ndata: cut";

fn event(kind: SseEventKind, id: Option<u64>, data: &'static str) -> SseEvent {
    SseEvent {
        kind,
        id,
        data: Bytes::from_static(data.as_bytes()),
    }
}

fn expected() -> Vec<SseEvent> {
    vec![
        event(SseEventKind::Message, Some(0), "{\"a\":1}"),
        event(SseEventKind::Message, Some(1), "two\nlines"),
        event(SseEventKind::Error, None, "broken"),
        event(SseEventKind::Other, None, ""),
        event(SseEventKind::Message, None, "[DONE]"),
    ]
}

fn decode<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Vec<SseEvent> {
    let mut decoder = SseDecoder::new(64);
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.push(Bytes::copy_from_slice(chunk));
        while let Some(event) = decoder.next_event().expect("a valid stream") {
            events.push(event);
        }
    }
    events
}

#[test]
fn events_are_the_same_for_every_line_ending_and_chunk_boundary() {
    for line_ending in ["\n", "\r\n", "\r"] {
        let stream = STREAM.replace('\n', line_ending);
        for boundary in 0..=stream.len() {
            let (head, tail) = stream.as_bytes().split_at(boundary);
            assert_eq!(
                decode([head, tail]),
                expected(),
                "line ending {line_ending:?}, boundary at {boundary}"
            );
        }
        let bytes = stream.as_bytes().chunks(1);
        assert_eq!(decode(bytes), expected(), "single bytes, {line_ending:?}");
    }
}

#[test]
fn an_event_without_its_empty_line_is_not_returned() {
    assert_eq!(decode([&b"id: 0\ndata: x\n"[..]]), []);
}

#[test]
fn an_event_over_the_limit_is_an_error_in_one_line_or_several() {
    for data in ["data: 123456789\n", "data: 1234\ndata: 5678\n"] {
        let mut decoder = SseDecoder::new(8);
        decoder.push(Bytes::copy_from_slice(data.as_bytes()));
        assert_eq!(decoder.next_event(), Err(SseError::TooLarge(8)), "{data:?}");
    }
}

#[test]
fn a_line_that_never_ends_is_an_error() {
    let mut decoder = SseDecoder::new(8);
    let mut pushed = 0;

    let error = loop {
        decoder.push(Bytes::from_static(b"xxxx"));
        pushed += 4;
        match decoder.next_event() {
            Ok(None) => {}
            other => break other,
        }
    };

    assert_eq!(error, Err(SseError::TooLarge(8)));
    assert!(pushed <= 32);
}

#[test]
fn an_id_that_is_not_an_index_is_an_error() {
    let mut decoder = SseDecoder::new(8);

    decoder.push(Bytes::from_static(b"id: -1\n"));

    assert_eq!(
        decoder.next_event(),
        Err(SseError::InvalidId("-1".to_owned()))
    );
}
