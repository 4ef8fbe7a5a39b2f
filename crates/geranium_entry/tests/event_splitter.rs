//! Event streams are split into complete events independently of how they are chunked.

use geranium_entry::sse::{EventSplitter, MalformedEvent};
use proptest::prelude::*;

/// Pushes a stream in chunks and returns the ids and the bytes of its complete events, up to
/// the end or to the first bytes that are no event.
fn split(stream: &[u8], chunk_size: usize) -> (Vec<u64>, Vec<u8>, Option<MalformedEvent>) {
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    let mut bytes = Vec::new();
    for chunk in stream.chunks(chunk_size.max(1)) {
        splitter.push(chunk);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => {
                    ids.push(event.id);
                    bytes.extend_from_slice(&event.bytes);
                }
                Ok(None) => break,
                Err(e) => return (ids, bytes, Some(e)),
            }
        }
    }
    (ids, bytes, None)
}

fn stream_of(events: &[(u64, String)], end: &str) -> Vec<u8> {
    let event = |(id, data): &(u64, String)| format!("id: {id}{end}data: {data}{end}{end}");
    events.iter().map(event).collect::<String>().into_bytes()
}

/// Returns events with ids that increase by the steps.
fn increasing(events: Vec<(u64, String)>) -> Vec<(u64, String)> {
    let mut last = 0;
    let add = |(step, data)| {
        last += step;
        (last, data)
    };
    events.into_iter().map(add).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn chunk_sizes_change_neither_events_nor_bytes(
        events in prop::collection::vec((1_u64..10_000, "[ -~]{0,40}"), 1..12),
        chunk_size in 1_usize..50,
        crlf in any::<bool>(),
    ) {
        let events = increasing(events);
        let stream = stream_of(&events, if crlf { "\r\n" } else { "\n" });

        let (ids, bytes, malformed) = split(&stream, chunk_size);

        let expected: Vec<u64> = events.iter().map(|(id, _)| *id).collect();
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(bytes, stream);
        prop_assert_eq!(malformed, None);
    }

    /// Guards against MIXED: bytes that are no event, with empty lines among them.
    #[test]
    fn events_before_bytes_that_are_none_are_returned_and_nothing_else(
        events in prop::collection::vec((1_u64..10_000, "[ -~]{0,40}"), 0..6),
        rubbish in prop::collection::vec("[!-9;-~]{0,40}", 1..12),
        chunk_size in 1_usize..50,
    ) {
        let names = ["", "id", "data", "event", "retry"];
        prop_assume!(rubbish.iter().any(|line| !names.contains(&&**line)));
        let sound = stream_of(&increasing(events), "\n");
        let mut stream = sound.clone();
        stream.extend_from_slice(rubbish.join("\n").as_bytes());
        stream.extend_from_slice(b"\n\n");

        let (_, bytes, malformed) = split(&stream, chunk_size);

        prop_assert_eq!(bytes, sound);
        prop_assert!(malformed.is_some());
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    let first = splitter.next_event();
    let second = splitter.next_event();

    assert_eq!(first.map(|e| e.map(|e| e.id)), Ok(Some(1)));
    assert_eq!(second, Ok(None));
    assert!(splitter.has_partial_event());
}

/// Guards against MIXED: pieces that have the form of an event but are none of the stream.
#[test]
fn pieces_without_an_increasing_id_are_no_events() {
    let cases = [
        ("data: a\n\n", MalformedEvent::MissingId),
        ("id: x\n\n", MalformedEvent::InvalidId),
        ("id\n\n", MalformedEvent::InvalidId),
        ("id: 1\nid: 2\n\n", MalformedEvent::InvalidId),
        ("<html>", MalformedEvent::UnknownField),
        ("id 3", MalformedEvent::UnknownField),
        ("id: 7\n\nid: 7\n\n", MalformedEvent::IdNotIncreasing(7, 7)),
        ("id: 7\n\nid: 6\n\n", MalformedEvent::IdNotIncreasing(6, 7)),
    ];
    for (stream, expected) in cases {
        let (_, _, malformed) = split(stream.as_bytes(), 100);

        assert_eq!(malformed, Some(expected), "{stream:?}");
    }
}

/// Guards against memory and time lost to bytes that will never be an event.
#[test]
fn a_line_that_cannot_become_a_field_is_noticed_before_it_ends() {
    for (start, is_malformed) in [
        ("da", false),
        ("data:x", false),
        (":", false),
        ("dat:", true),
        ("x", true),
    ] {
        let mut splitter = EventSplitter::default();
        splitter.push(start.as_bytes());

        let event = splitter.next_event();

        assert_eq!(event.is_err(), is_malformed, "{start:?}");
    }
}

#[test]
fn blank_lines_and_comments_go_with_the_event_after_them_or_with_the_end() {
    let stream = b"\n: hello\n\nid: 1\ndata: a\n\n\n: bye\n\n";
    let mut splitter = EventSplitter::default();
    splitter.push(stream);

    let event = splitter.next_event();
    let next = splitter.next_event();

    let event = event.expect("it is well formed").expect("it is complete");
    assert_eq!(&event.bytes[..], b"\n: hello\n\nid: 1\ndata: a\n\n");
    assert_eq!(next, Ok(None));
    assert!(!splitter.has_partial_event());
    assert_eq!(&splitter.take_rest()[..], b"\n: bye\n\n");
}
