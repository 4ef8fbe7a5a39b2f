//! Event streams are split into complete events independently of how they are chunked.

use geranium_entry::sse::EventSplitter;
use proptest::prelude::*;

/// Pushes a stream in chunks and returns the ids and the bytes of its complete events.
fn split(stream: &[u8], chunk_size: usize) -> (Vec<Option<u64>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    let mut bytes = Vec::new();
    for chunk in stream.chunks(chunk_size.max(1)) {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    (ids, bytes)
}

fn stream_of(events: &[(u64, String)], end: &str) -> Vec<u8> {
    let event = |(id, data): &(u64, String)| format!("id: {id}{end}data: {data}{end}{end}");
    events.iter().map(event).collect::<String>().into_bytes()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn chunk_sizes_change_neither_events_nor_bytes(
        events in prop::collection::vec((0_u64..10_000, "[ -~]{0,40}"), 1..12),
        chunk_size in 1_usize..50,
        crlf in any::<bool>(),
    ) {
        let stream = stream_of(&events, if crlf { "\r\n" } else { "\n" });

        let (ids, bytes) = split(&stream, chunk_size);

        let expected: Vec<Option<u64>> = events.iter().map(|(id, _)| Some(*id)).collect();
        prop_assert_eq!(ids, expected);
        prop_assert_eq!(bytes, stream);
    }
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");

    let first = splitter.next_event();
    let second = splitter.next_event();

    assert_eq!(first.and_then(|e| e.id), Some(1));
    assert_eq!(second, None);
    assert!(splitter.has_partial_event());
}

#[test]
fn events_without_a_number_have_no_id() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"data: a\n\nid: x\n\n");

    assert_eq!(splitter.next_event().and_then(|e| e.id), None);
    assert_eq!(splitter.next_event().and_then(|e| e.id), None);
    assert!(!splitter.has_partial_event());
}
